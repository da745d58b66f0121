import type {PlacementRevision} from './placement_revision.js';

/** The low parts, base and overlay, take 10 bits each. */
const RADIX = 2 ** 10;
/** Exclusive limit that keeps the token below 2^53, a safe integer. */
const MAX_SUM = 2 ** 33;

/**
 * Computes the fencing token of a revision. The high bits hold the sum of the
 * parts, so the token grows whenever a part grows and none decreases. The low
 * bits distinguish revisions with equal sums whose base or overlay differ by
 * less than 1024.
 *
 * @return Undefined if the sum does not fit into 33 bits.
 */
export function toFencingToken(
  revision: PlacementRevision,
): number | undefined {
  const {base, overlay, upstreams} = revision;
  const sum = base + overlay + upstreams;
  if (!Number.isSafeInteger(sum) || sum < 0 || sum >= MAX_SUM) return undefined;
  return sum * RADIX * RADIX + (base % RADIX) * RADIX + (overlay % RADIX);
}
