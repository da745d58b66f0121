import {readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';

/** Reads a JSON schema with the parts of other files that it names filled in. */
export function readSchema(path) {
  return JSON.parse(readFileSync(path, 'utf8'), (_name, value) => {
    if (!value?.$ref?.endsWith('.json')) return value;
    const {$ref, ...own} = value;
    return {...readSchema(join(dirname(path), $ref)), ...own};
  });
}
