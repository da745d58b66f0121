import type {PlacementRevision} from './placement_revision.js';

const LOW = 2 ** 10;
const MAX_SUM = 2 ** 33;

/**
 * Fencing number of a revision. Grows whenever one part grows, as the sum does;
 * the low bits tell apart revisions with equal sum whose base or overlay
 * differ by less than 1024.
 *
 * @return Undefined where the sum does not fit into 33 bits.
 */
export function toFencing(revision: PlacementRevision): number | undefined {
  const {base, overlay, upstreams} = revision;
  const sum = base + overlay + upstreams;
  if (!Number.isSafeInteger(sum) || sum < 0 || sum >= MAX_SUM) return undefined;
  return sum * LOW * LOW + (base % LOW) * LOW + (overlay % LOW);
}
