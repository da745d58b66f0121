import {isAddress} from './is_address.js';
import {readPointer} from './read_pointer.js';
import type {SettingsProblem} from './settings_problem.js';

/** Finds the paths at which a document has no valid IP address and port. */
export function findInvalidAddresses(
  document: unknown,
  paths: readonly string[],
): SettingsProblem[] {
  return paths
    .map(path => ({path, value: readPointer(document, path)}))
    .filter(({value}) => typeof value !== 'string' || !isAddress(value))
    .map(problem => ({...problem, allowed: 'an IP address and port, IP:port'}));
}
