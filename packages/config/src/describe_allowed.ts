import type {ErrorObject} from 'ajv';

/** Says in plain words what a schema allows where a value broke it. */
export function describeAllowed(error: ErrorObject): string {
  const params = error.params as Record<string, unknown>;
  switch (error.keyword) {
    case 'type':
      return [params['type']].flat().join(' or ');
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
      return `text that matches ${String(params['pattern'])}`;
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
