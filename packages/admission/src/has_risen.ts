import type {Demand} from './demand.js';
import {DemandKind} from './demand_kind.js';

const RISE_FACTOR = 1.5;
/** Smaller increases can wait for the next regular message. */
const MIN_RISE: Demand = {
  [DemandKind.REQUESTS]: 1,
  [DemandKind.TOKENS]: 1000,
  [DemandKind.CONCURRENT]: 1,
};

/** Whether demand has increased enough to be announced before the regular message. */
export function hasRisen(before: Demand | undefined, after: Demand): boolean {
  return Object.values(DemandKind).some(
    kind => after[kind] > RISE_FACTOR * (before?.[kind] ?? 0) + MIN_RISE[kind],
  );
}
