import {SETTINGS_SCHEMA, type Settings} from '@parsleywood/schema/settings';
import type {Result} from 'true-myth/result';
import {SchemaCheck} from './schema_check.js';
import type {SettingsProblem} from './settings_problem.js';

const CHECK = new SchemaCheck<Settings>(SETTINGS_SCHEMA);

/** Checks merged settings and fills in the defaults. */
export function checkSettings(
  value: unknown,
): Result<Settings, SettingsProblem[]> {
  return CHECK.run(value);
}
