import type {Demand} from './demand.js';

/** What this host told a peer in one message. */
export interface AnnouncedDemand {
  readonly sequence: number;
  readonly atMs: number;
  readonly demands: ReadonlyMap<string, Demand>;
}
