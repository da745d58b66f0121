/** Digits of a hash that log lines show. */
const LOGGED_DIGITS = 12;

/** Returns the first digits of a hash, as log lines show it. */
export function shortenHash(hash: string): string {
  return hash.slice(0, LOGGED_DIGITS);
}
