import type {Offer} from './offer.js';

/** An offer that waits for its turn. */
export interface QueuedOffer {
  readonly offer: Offer;
  readonly queuedMs: number;
  /** Last time at which it may be admitted; past it, it is refused. */
  readonly latestStartMs: number;
  /** Whether it may wait for slack. */
  readonly batch: boolean;
  /** Whether it has left the queue. */
  left: boolean;
}
