import {isDeepStrictEqual} from 'node:util';
import {listValues} from './list_values.js';
import {maskSecrets} from './mask_secrets.js';
import type {SettingsChange} from './settings_change.js';

/**
 * Lists the values that differ between two settings documents, sorted by path.
 */
export function compareSettings(a: unknown, b: unknown): SettingsChange[] {
  const before = mapByPath(a);
  const after = mapByPath(b);
  const paths = new Set([...before.keys(), ...after.keys()]);
  return [...paths]
    .filter(path => !isDeepStrictEqual(before.get(path), after.get(path)))
    .sort()
    .map(path => ({
      path,
      before: maskSecrets(path, before.get(path)),
      after: maskSecrets(path, after.get(path)),
    }));
}

function mapByPath(document: unknown): Map<string, unknown> {
  return new Map(listValues(document).map(({path, value}) => [path, value]));
}
