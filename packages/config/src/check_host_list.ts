import {HOST_LIST_SCHEMA, type HostList} from '@parsleywood/schema/host_list';
import {Result} from 'true-myth/result';
import {findAddressFaults} from './find_invalid_addresses.js';
import {findRepeated} from './find_duplicates.js';
import {SchemaCheck} from './schema_check.js';
import type {SettingsProblem} from './settings_problem.js';

const CHECK = new SchemaCheck<HostList>(HOST_LIST_SCHEMA);

/** Checks a published host list. */
export function checkHostList(
  value: unknown,
): Result<HostList, SettingsProblem[]> {
  return CHECK.run(value).andThen(list => {
    const names = list.hosts.map(({name}, index) => ({
      path: `/hosts/${index}/name`,
      value: name,
    }));
    const addresses = list.hosts.flatMap((_, index) => [
      `/hosts/${index}/callers`,
      `/hosts/${index}/peers`,
    ]);
    const faults = [
      ...findRepeated(names, 'a name that no host has before'),
      ...findAddressFaults(list, addresses),
    ];
    return faults.length === 0 ? Result.ok(list) : Result.err(faults);
  });
}
