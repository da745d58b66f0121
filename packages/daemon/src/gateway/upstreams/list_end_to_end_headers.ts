import {HOP_BY_HOP_HEADERS} from './hop_by_hop_headers.js';

/**
 * Removes hop-by-hop headers, including those that `Connection` names.
 *
 * @param rawHeaders Names and values alternating, as received.
 * @param excluded Further names to remove, in lower case.
 * @return The remaining names and values, alternating.
 */
export function listEndToEndHeaders(
  rawHeaders: readonly string[],
  excluded: ReadonlySet<string>,
): string[] {
  const connectionOptions = new Set<string>();
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if (rawHeaders[at]?.toLowerCase() !== 'connection') continue;
    for (const name of (rawHeaders[at + 1] ?? '').split(',')) {
      connectionOptions.add(name.trim().toLowerCase());
    }
  }
  const kept: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = rawHeaders[at] ?? '';
    const lower = name.toLowerCase();
    if (
      HOP_BY_HOP_HEADERS.has(lower) ||
      connectionOptions.has(lower) ||
      excluded.has(lower)
    ) {
      continue;
    }
    kept.push(name, rawHeaders[at + 1] ?? '');
  }
  return kept;
}
