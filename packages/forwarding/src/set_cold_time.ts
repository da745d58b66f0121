import type {UpstreamEntry} from './upstream_entry.js';

/**
 * Returns an entry with the time that its upstream stays cold, rounded up. One that
 * tells no such time and is not known to be cold stays as it is.
 *
 * @param leftMs In milliseconds; 0 or below for an upstream that is not cold.
 */
export function setColdTime(
  entry: UpstreamEntry,
  leftMs: number,
): UpstreamEntry {
  const coldMs = Math.max(0, Math.ceil(leftMs));
  if (coldMs === (entry.coldRemainingMs ?? 0)) return entry;
  return {...entry, coldRemainingMs: coldMs};
}
