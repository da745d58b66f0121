import {SETTINGS_SCHEMA, type Settings} from '@parsleywood/schema/settings';
import {Ajv} from 'ajv';
import mergePatch from 'json-merge-patch';

const validate = new Ajv({strict: false, useDefaults: true}).compile<Settings>(
  SETTINGS_SCHEMA,
);

/** Merges base and overlay; undefined when the result is not allowed. */
export function checkSettings(
  base: unknown,
  overlay: unknown,
): Settings | undefined {
  const merged: unknown = mergePatch.apply(
    structuredClone(base) as object,
    structuredClone(overlay) as object,
  );
  return validate(merged) ? merged : undefined;
}
