import {createHash} from 'node:crypto';

const WEIGHT_BYTES = 6;

/**
 * Sorts the names by rendezvous hashing with the key, highest weight first; the
 * order is the same on every host.
 */
export function orderByRendezvous(
  key: string,
  names: readonly string[],
): string[] {
  const weights = new Map(names.map(name => [name, toWeight(key, name)]));
  const weightOf = (name: string) => weights.get(name) ?? 0;
  return [...names].sort(
    (a, b) => weightOf(b) - weightOf(a) || (a < b ? -1 : 1),
  );
}

function toWeight(key: string, name: string): number {
  const digest = createHash('sha256').update(`${key}\n${name}`).digest();
  return digest.readUIntBE(0, WEIGHT_BYTES);
}
