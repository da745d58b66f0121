import type {Offer} from './offer.js';

/** Admitted request with the monotonic times of its progress. */
export interface RunningRequest {
  readonly request: Offer;
  readonly admittedMs: number;
  startedMs?: number;
  firstTokenMs?: number;
}
