import {escapePointer} from './escape_pointer.js';

const MASK = '***';
const SECRET_NAME = 'keyHashes';

/**
 * Hides what must not be printed: key hashes, at or below the value.
 *
 * @param path JSON pointer to the value.
 */
export function maskSecret(path: string, value: unknown): unknown {
  if (value === undefined) return undefined;
  if (path.split('/').includes(SECRET_NAME)) return MASK;
  if (value === null || typeof value !== 'object') return value;
  if (Array.isArray(value)) return value.map(item => maskSecret(path, item));
  return Object.fromEntries(
    Object.entries(value).map(([name, child]) => [
      name,
      maskSecret(`${path}/${escapePointer(name)}`, child),
    ]),
  );
}
