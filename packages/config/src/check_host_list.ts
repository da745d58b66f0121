import {HOST_LIST_SCHEMA, type HostList} from '@parsleywood/schema/host_list';
import type {Result} from 'true-myth/result';
import {SchemaCheck} from './schema_check.js';
import type {SettingsProblem} from './settings_problem.js';

const CHECK = new SchemaCheck<HostList>(HOST_LIST_SCHEMA);

/** Checks a published host list. */
export function checkHostList(
  value: unknown,
): Result<HostList, SettingsProblem[]> {
  return CHECK.run(value);
}
