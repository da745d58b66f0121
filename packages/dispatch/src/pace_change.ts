import type {PaceReason} from './pace_reason.js';

/** Begin or end of the probation of an upstream. */
export interface PaceChange {
  readonly upstream: string;
  readonly reason: PaceReason;
  readonly hasEnded: boolean;
  /** Requests that it may hold; at the end, those it might hold just before. */
  readonly window: number;
  readonly slowdownFactor: number;
  /** Time on probation so far, in milliseconds. */
  readonly lastedMs: number;
}
