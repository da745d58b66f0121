import type {DemandKind} from './demand_kind.js';

/**
 * Demand of one account at one host: requests per second, tokens per second and
 * concurrent requests.
 */
export type Demand = Readonly<Record<DemandKind, number>>;
