import {escapePointer} from './escape_pointer.js';
import type {LocatedValue} from './located_value.js';

/**
 * Lists the leaf values of a document in document order. An array of primitive
 * values and an empty object count as one leaf.
 */
export function listValues(document: unknown, path = ''): LocatedValue[] {
  if (!hasNestedValues(document)) return [{path, value: document}];
  return Object.entries(document).flatMap(([name, child]) =>
    listValues(child, `${path}/${escapePointer(name)}`),
  );
}

function hasNestedValues(value: unknown): value is object {
  if (value === null || typeof value !== 'object') return false;
  if (Array.isArray(value)) return value.some(isObject);
  return Object.keys(value).length > 0;
}

function isObject(value: unknown): boolean {
  return value !== null && typeof value === 'object';
}
