import type {Settings} from '@parsleywood/schema/settings';
import {Result} from 'true-myth/result';
import {findSettingsFaults} from './find_constraint_violations.js';
import {SETTINGS_CHECK} from './settings_validator.js';
import type {SettingsProblem} from './settings_problem.js';

/**
 * Checks merged settings, by schema and for what a schema cannot say, and
 * fills in the defaults.
 */
export function checkSettings(
  value: unknown,
): Result<Settings, SettingsProblem[]> {
  return SETTINGS_CHECK.run(value).andThen(settings => {
    const faults = findSettingsFaults(settings);
    return faults.length === 0 ? Result.ok(settings) : Result.err(faults);
  });
}
