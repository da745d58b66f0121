import type {RequestOutcome} from './request_outcome.js';

/** What became of one request. */
export interface RequestResult {
  readonly kind: string;
  readonly arrivedAtMs: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly outcome: RequestOutcome;
  /** Time to the first event, in milliseconds; absent without one. */
  readonly firstMs?: number;
  readonly longestPauseMs: number;
}
