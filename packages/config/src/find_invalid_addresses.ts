import {isAddress} from './is_address.js';
import {readPointer} from './read_pointer.js';
import type {SettingsProblem} from './settings_problem.js';

/** Finds the paths of a document whose value is no address. */
export function findInvalidAddresses(
  document: unknown,
  paths: readonly string[],
): SettingsProblem[] {
  return paths
    .map(path => ({path, value: readPointer(document, path)}))
    .filter(({value}) => typeof value !== 'string' || !isAddress(value))
    .map(problem => ({...problem, allowed: 'an IP number and port, IP:port'}));
}
