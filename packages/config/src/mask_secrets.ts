import {escapePointer} from './escape_pointer.js';

const MASK = '***';
const SECRET_SETTING = 'keyHashes';

/**
 * Masks the values that must not be printed: key hashes, at or below `path`.
 *
 * @param path JSON pointer to the value in its document.
 */
export function maskSecrets(path: string, value: unknown): unknown {
  if (value === undefined) return undefined;
  if (path.split('/').includes(SECRET_SETTING)) return MASK;
  if (value === null || typeof value !== 'object') return value;
  if (Array.isArray(value)) return value.map(item => maskSecrets(path, item));
  return Object.fromEntries(
    Object.entries(value).map(([name, child]) => [
      name,
      maskSecrets(`${path}/${escapePointer(name)}`, child),
    ]),
  );
}
