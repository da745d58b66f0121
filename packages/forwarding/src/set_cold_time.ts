import type {UpstreamEntry} from './upstream_entry.js';

/**
 * Returns an entry with the time that its upstream stays cold, rounded up.
 *
 * @param leftMs In milliseconds; 0 or below for an upstream that is not cold.
 */
export function setColdTime(
  entry: UpstreamEntry,
  leftMs: number,
): UpstreamEntry {
  const coldMs = Math.max(0, Math.ceil(leftMs));
  if (coldMs === (entry.coldRemainingMs ?? 0)) return entry;
  if (coldMs > 0) return {...entry, coldRemainingMs: coldMs};
  return dropColdTime(entry);
}

function dropColdTime({
  coldRemainingMs: _coldRemainingMs,
  ...rest
}: UpstreamEntry): UpstreamEntry {
  return rest;
}
