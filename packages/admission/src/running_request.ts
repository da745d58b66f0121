import type {Offer} from './offer.js';

/** An admitted request. */
export interface RunningRequest {
  readonly offer: Offer;
  readonly admittedMs: number;
  startedMs?: number;
  firstTokenMs?: number;
}
