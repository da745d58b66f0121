import type {Settings} from '@parsleywood/schema/settings';
import {Result} from 'true-myth/result';
import {findConstraintViolations} from './find_constraint_violations.js';
import {SETTINGS_VALIDATOR} from './settings_validator.js';
import type {SettingsProblem} from './settings_problem.js';

/**
 * Checks merged settings against the schema and the constraints that a schema
 * cannot express. The result has the defaults filled in.
 */
export function checkSettings(
  value: unknown,
): Result<Settings, SettingsProblem[]> {
  return SETTINGS_VALIDATOR.validate(value).andThen(settings => {
    const violations = findConstraintViolations(settings);
    return violations.length === 0
      ? Result.ok(settings)
      : Result.err(violations);
  });
}
