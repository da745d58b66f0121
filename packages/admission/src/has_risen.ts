import type {Demand} from './demand.js';
import {DemandKind} from './demand_kind.js';

const FACTOR = 1.5;
/** Rises below these amounts can wait for the next regular message. */
const LEAST: Demand = {
  [DemandKind.REQUESTS]: 1,
  [DemandKind.TOKENS]: 1000,
  [DemandKind.CONCURRENT]: 1,
};

/** Whether a demand has grown so much that peers should hear of it soon. */
export function hasRisen(before: Demand | undefined, after: Demand): boolean {
  return Object.values(DemandKind).some(
    kind => after[kind] > FACTOR * (before?.[kind] ?? 0) + LEAST[kind],
  );
}
