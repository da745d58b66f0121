// Generates the TypeScript types and schema constants of json/*.schema.json.
import {readdirSync, writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {compile} from 'json-schema-to-typescript';
import {readSchema} from './read_schema.mjs';

const PACKAGE = join(dirname(fileURLToPath(import.meta.url)), '..');
const SUFFIX = '.schema.json';

for (const file of readdirSync(join(PACKAGE, 'json')).sort()) {
  if (!file.endsWith(SUFFIX)) continue;
  const path = join(PACKAGE, 'json', file);
  const schema = readSchema(path);
  const base = file.slice(0, -SUFFIX.length).replaceAll('-', '_');
  const constant = `${base.toUpperCase()}_SCHEMA`;
  const types = await compile(readSchema(path), schema.title, {
    additionalProperties: false,
    bannerComment: '',
    format: false,
    strictIndexSignatures: true,
  });
  const body =
    `${types}\nexport const ${constant} = ` +
    `${JSON.stringify(schema, null, 2)};\n`;
  writeFileSync(join(PACKAGE, 'src/generated', `${base}.ts`), body);
}
