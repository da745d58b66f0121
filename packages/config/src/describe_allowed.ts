import type {ErrorObject} from 'ajv';

const PATTERN_DESCRIPTIONS: Readonly<Record<string, string>> = {
  '^[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}$': 'an IP number and port, IP:port',
  '^[a-z0-9][a-z0-9-]{0,62}$':
    'up to 63 small letters, digits and dashes, no dash first',
  '^[0-9a-f]{64}$': '64 small hexadecimal digits',
  '^http://': 'an address that starts with http://',
  '^/': 'a path that starts with /',
};
const TYPE_DESCRIPTIONS: Readonly<Record<string, string>> = {
  array: 'a list',
  boolean: 'true or false',
  integer: 'an integer',
  null: 'null',
  number: 'a number',
  object: 'an object',
  string: 'text',
};

/** Says in plain words what a schema allows where a value broke it. */
export function describeAllowed(error: ErrorObject): string {
  const params = error.params as Record<string, unknown>;
  switch (error.keyword) {
    case 'type':
      return [params['type']]
        .flat()
        .map(type => TYPE_DESCRIPTIONS[String(type)] ?? String(type))
        .join(' or ');
    case 'enum':
      return `one of ${JSON.stringify(params['allowedValues'])}`;
    case 'minimum':
    case 'maximum':
    case 'exclusiveMinimum':
    case 'exclusiveMaximum':
      return `a number ${String(params['comparison'])} ${String(params['limit'])}`;
    case 'minLength':
      return `text of at least ${String(params['limit'])} characters`;
    case 'maxLength':
      return `text of at most ${String(params['limit'])} characters`;
    case 'pattern':
      return describePattern(String(params['pattern']));
    case 'format':
      return `a ${String(params['format'])}`;
    case 'minItems':
      return `at least ${String(params['limit'])} items`;
    case 'maxItems':
      return `at most ${String(params['limit'])} items`;
    case 'minProperties':
      return `at least ${String(params['limit'])} entries`;
    case 'uniqueItems':
      return 'items that differ from each other';
    default:
      return error.message ?? `what the schema says of ${error.keyword}`;
  }
}

function describePattern(pattern: string): string {
  return PATTERN_DESCRIPTIONS[pattern] ?? `text that matches ${pattern}`;
}
