import {HOST_LIST_SCHEMA, type HostList} from '@parsleywood/schema/host_list';
import {Result} from 'true-myth/result';
import {findInvalidAddresses} from './find_invalid_addresses.js';
import {findDuplicates} from './find_duplicates.js';
import {SchemaValidator} from './schema_validator.js';
import type {SettingsProblem} from './settings_problem.js';

const VALIDATOR = new SchemaValidator<HostList>(HOST_LIST_SCHEMA);

/** Checks a published host list: schema, unique names, IP addresses. */
export function checkHostList(
  value: unknown,
): Result<HostList, SettingsProblem[]> {
  return VALIDATOR.validate(value).andThen(list => {
    const names = list.hosts.map(({name}, index) => ({
      path: `/hosts/${index}/name`,
      value: name,
    }));
    const addresses = list.hosts.flatMap((_, index) => [
      `/hosts/${index}/callers`,
      `/hosts/${index}/peers`,
    ]);
    const problems = [
      ...findDuplicates(names, 'a unique host name'),
      ...findInvalidAddresses(list, addresses),
    ];
    return problems.length === 0 ? Result.ok(list) : Result.err(problems);
  });
}
