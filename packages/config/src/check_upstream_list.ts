import {
  UPSTREAM_LIST_SCHEMA,
  type UpstreamList,
} from '@parsleywood/schema/upstream_list';
import type {Result} from 'true-myth/result';
import {SchemaCheck} from './schema_check.js';
import type {SettingsProblem} from './settings_problem.js';

const CHECK = new SchemaCheck<UpstreamList>(UPSTREAM_LIST_SCHEMA);

/** Checks a published upstream list. */
export function checkUpstreamList(
  value: unknown,
): Result<UpstreamList, SettingsProblem[]> {
  return CHECK.run(value);
}
