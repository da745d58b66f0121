import type {Demand} from './demand.js';

/** Demand that this host announced to a peer in one message, by account. */
export interface AnnouncedDemand {
  readonly sequence: number;
  readonly atMs: number;
  readonly demands: ReadonlyMap<string, Demand>;
}
