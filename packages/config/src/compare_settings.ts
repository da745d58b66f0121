import {isDeepStrictEqual} from 'node:util';
import {listValues} from './list_values.js';
import {maskSecret} from './mask_secrets.js';
import type {SettingsChange} from './settings_change.js';

/** Lists the values that differ between two settings, sorted by path. */
export function compareSettings(a: unknown, b: unknown): SettingsChange[] {
  const before = toMap(a);
  const after = toMap(b);
  const paths = new Set([...before.keys(), ...after.keys()]);
  return [...paths]
    .filter(path => !isDeepStrictEqual(before.get(path), after.get(path)))
    .sort()
    .map(path => ({
      path,
      before: maskSecret(path, before.get(path)),
      after: maskSecret(path, after.get(path)),
    }));
}

function toMap(document: unknown): Map<string, unknown> {
  return new Map(listValues(document).map(({path, value}) => [path, value]));
}
