import type {DemandKind} from './demand_kind.js';

/** Demand of one account at one host, by limit. */
export type Demand = Readonly<Record<DemandKind, number>>;
