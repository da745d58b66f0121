import {HOP_HEADERS} from './hop_by_hop_headers.js';

/**
 * Lists the headers that pass through, as names and values by turns.
 *
 * @param raw Names and values by turns, as received.
 * @param dropped Further names to leave out, in lower case.
 */
export function listEndToEndHeaders(
  raw: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const named = new Set<string>();
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if (raw[at]?.toLowerCase() !== 'connection') continue;
    for (const name of (raw[at + 1] ?? '').split(',')) {
      named.add(name.trim().toLowerCase());
    }
  }
  const kept: string[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at] ?? '';
    const lower = name.toLowerCase();
    if (HOP_HEADERS.has(lower) || named.has(lower) || dropped.has(lower)) {
      continue;
    }
    kept.push(name, raw[at + 1] ?? '');
  }
  return kept;
}
