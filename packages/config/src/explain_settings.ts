import type {ExplainedValue} from './explained_value.js';
import {listValues} from './list_values.js';
import {maskSecrets} from './mask_secrets.js';
import {mergeSettings} from './merge_settings.js';
import {readPointer} from './read_pointer.js';
import {SETTINGS_VALIDATOR} from './settings_validator.js';
import {ValueSource} from './value_source.js';

/**
 * Lists the merged settings, valid or not, with the source of each value. Masks
 * secrets.
 */
export function explainSettings(
  base: unknown,
  overlay: unknown,
): ExplainedValue[] {
  const merged = mergeSettings(base, overlay);
  return listValues(SETTINGS_VALIDATOR.fillDefaults(merged)).map(
    ({path, value}) => ({
      path,
      value: maskSecrets(path, value),
      source: findSource(path, merged, overlay),
    }),
  );
}

function findSource(
  path: string,
  merged: unknown,
  overlay: unknown,
): ValueSource {
  if (readPointer(merged, path) === undefined) return ValueSource.DEFAULT;
  const isInOverlay = readPointer(overlay, path) !== undefined;
  return isInOverlay ? ValueSource.OVERLAY : ValueSource.BASE;
}
