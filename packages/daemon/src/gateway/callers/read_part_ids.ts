const MAX_PART_ID_LENGTH = 64;

/** Reads the ids of a prompt's parts in order, from entries ID:TOKENS. */
export function readPartIds(text: string): string[] {
  return text
    .split(',')
    .map(entry => (entry.split(':', 1)[0] ?? '').trim().toLowerCase())
    .filter(id => id !== '')
    .map(id => id.slice(0, MAX_PART_ID_LENGTH));
}
