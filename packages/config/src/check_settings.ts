import type {Settings} from '@parsleywood/schema/settings';
import {Result} from 'true-myth/result';
import {findConstraintViolations} from './find_constraint_violations.js';
import {SETTINGS_VALIDATOR} from './settings_validator.js';
import type {SettingsProblem} from './settings_problem.js';

/**
 * Checks merged settings, by schema and for what a schema cannot say, and
 * fills in the defaults.
 */
export function checkSettings(
  value: unknown,
): Result<Settings, SettingsProblem[]> {
  return SETTINGS_VALIDATOR.run(value).andThen(settings => {
    const violations = findConstraintViolations(settings);
    return violations.length === 0
      ? Result.ok(settings)
      : Result.err(violations);
  });
}
