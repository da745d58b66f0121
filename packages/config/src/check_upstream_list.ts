import {
  UPSTREAM_LIST_SCHEMA,
  type UpstreamList,
} from '@parsleywood/schema/upstream_list';
import {Result} from 'true-myth/result';
import {findInvalidAddresses} from './find_invalid_addresses.js';
import {findDuplicates} from './find_duplicates.js';
import {SchemaValidator} from './schema_validator.js';
import type {SettingsProblem} from './settings_problem.js';

const VALIDATOR = new SchemaValidator<UpstreamList>(UPSTREAM_LIST_SCHEMA);

/** Checks a published upstream list: schema, unique names, IP addresses. */
export function checkUpstreamList(
  value: unknown,
): Result<UpstreamList, SettingsProblem[]> {
  return VALIDATOR.validate(value).andThen(list => {
    const names = list.upstreams.map(({name}, index) => ({
      path: `/upstreams/${index}/name`,
      value: name,
    }));
    const addresses = list.upstreams.map(
      (_, index) => `/upstreams/${index}/address`,
    );
    const problems = [
      ...findDuplicates(names, 'a unique upstream name'),
      ...findInvalidAddresses(list, addresses),
    ];
    return problems.length === 0 ? Result.ok(list) : Result.err(problems);
  });
}
