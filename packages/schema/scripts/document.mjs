// Writes docs/SETTINGS.md, the reference of all settings, from json/.
import {writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {format, resolveConfig} from 'prettier';
import {readSchema} from './read_schema.mjs';

const PACKAGE = join(dirname(fileURLToPath(import.meta.url)), '..');
const PAGE = join(PACKAGE, '../../docs/SETTINGS.md');
const PARTS = [
  ['settings', 'Settings of a site'],
  ['start-settings', 'Start settings'],
  ['host-list', 'Host list'],
  ['upstream-list', 'Upstream list'],
  ['gateway-settings', 'Gateway settings'],
  ['published-site', 'Published site'],
];
const UNITS = [
  [/latencyMs\.|Ms$/, 'ms'],
  [/tokensPerSecond$/, 'tokens/s'],
  [/requestsPerSecond$/, 'requests/s'],
  [/BytesPerSecond$/, 'bytes/s'],
  [/bytesPerToken$/, 'bytes/token'],
  [/Bytes$/, 'bytes'],
  [/Tokens$/, 'tokens'],
];

const sections = PARTS.map(([file, title]) => {
  const path = join(PACKAGE, 'json', `${file}.schema.json`);
  const schema = readSchema(path);
  const rows = listRows(schema, schema, '', true);
  return `## ${title}

${schema.description} Schema: \`packages/schema/json/${file}.schema.json\`.

| Setting | Unit | Allowed | Default | Meaning |
| --- | --- | --- | --- | --- |
${rows.join('\n')}
`;
});
const page = `# Settings

Generated from the schemas by \`npm run generate\`; do not edit. A \`*\` stands
for a name that the operators choose, \`[]\` for each entry of a list.
\`parsleywood config check\` checks more than is said here: classes in rising
order, no key hash twice, time limits within the longest, contexts that fit.

${sections.join('\n')}`;
const options = await resolveConfig(PAGE);
writeFileSync(PAGE, await format(page, {...options, parser: 'markdown'}));

/** Lists the table rows of a schema and of those below it. */
function listRows(root, schema, path, isRequired) {
  if (schema.$ref) {
    const target = root.definitions[schema.$ref.split('/').at(-1)];
    return listRows(root, target, path, isRequired);
  }
  const rows = path === '' ? [] : [formatRow(schema, path, isRequired)];
  for (const [name, child] of Object.entries(schema.properties ?? {})) {
    const childPath = path === '' ? name : `${path}.${name}`;
    const required = (schema.required ?? []).includes(name);
    rows.push(...listRows(root, child, childPath, required));
  }
  const {additionalProperties: named, items} = schema;
  if (named) rows.push(...listRows(root, named, `${path}.*`, false));
  if (isBranch(items)) {
    rows.push(...listRows(root, items, `${path}[]`, false));
  }
  return rows;
}

/** Whether the entries of a list have settings of their own. */
function isBranch(items) {
  return Boolean(items?.$ref ?? items?.properties);
}

function formatRow(schema, path, isRequired) {
  const unit = schema.type.match(/integer|number/)
    ? (UNITS.find(([pattern]) => pattern.test(path))?.[1] ?? '')
    : '';
  const cells = [
    `\`${path}\``,
    unit,
    formatAllowed(schema),
    formatDefault(schema, isRequired, path),
    schema.description ?? '',
  ];
  return `| ${cells.map(cell => cell.replaceAll('|', '\\|')).join(' | ')} |`;
}

function formatDefault(schema, isRequired, path) {
  if (schema.default !== undefined) {
    return `\`${JSON.stringify(schema.default)}\``;
  }
  return isRequired && !path.endsWith('*') ? 'required' : '';
}

function formatAllowed(schema) {
  if (schema.enum) return schema.enum.map(value => `\`${value}\``).join(', ');
  const bounds = [
    schema.minimum !== undefined && `≥ ${schema.minimum}`,
    schema.exclusiveMinimum !== undefined && `> ${schema.exclusiveMinimum}`,
    schema.maximum !== undefined && `≤ ${schema.maximum}`,
    schema.minItems && `${schema.minItems} or more`,
    schema.pattern && `\`${schema.pattern}\``,
    schema.items?.pattern && `each \`${schema.items.pattern}\``,
    schema.format,
  ].filter(Boolean);
  return [schema.type, ...bounds].join(', ');
}
