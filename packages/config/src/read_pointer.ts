/**
 * Reads the value at a JSON pointer (RFC 6901); undefined where there is none.
 */
export function readPointer(document: unknown, pointer: string): unknown {
  let value = document;
  for (const part of pointer.split('/').slice(1)) {
    if (value === null || typeof value !== 'object') return undefined;
    const name = part.replaceAll('~1', '/').replaceAll('~0', '~');
    value = Object.hasOwn(value, name) ? Reflect.get(value, name) : undefined;
  }
  return value;
}
