import {agePriority} from './age_priority.js';
import type {AgedPriority} from './aged_priority.js';
import type {LengthClasses} from './length_classes.js';
import type {PrefillRate} from './prefill_rate.js';
import type {RoutedRequest} from './routed_request.js';

/** Assumed decode time of one answer token. */
const DECODE_TOKEN_MS = 20;
/** Factor by which the estimated duration of a request is increased. */
const SAFETY_FACTOR = 1.5;
const DEFAULT_PRIORITY = 5;
/**
 * Requests with at least this time limit are batch requests, which start at the
 * lowest priority.
 */
const MIN_BATCH_LIMIT_MS = 3_600_000;
const BATCH_PRIORITY = 9;

/** Compares the estimated duration of a request with its time limit. */
export class RequestTiming {
  constructor(private readonly classes: LengthClasses) {}

  /**
   * Whether the request is expected to miss its deadline.
   *
   * @param waitTokens Prompt tokens to prefill before it.
   */
  isExpectedLate(
    request: RoutedRequest,
    rate: PrefillRate,
    waitTokens: number,
    nowMs: number,
  ): boolean {
    const expectedMs = this.estimateMs(request, rate, waitTokens);
    return nowMs + expectedMs > request.deadlineMs;
  }

  /** Priority of a request at `nowMs`. */
  findPriority(
    request: RoutedRequest,
    rate: PrefillRate,
    nowMs: number,
  ): AgedPriority {
    const {priority} = this.classes.findClass(request.promptTokens);
    const latestStartMs =
      request.deadlineMs - this.estimateMs(request, rate, 0);
    const isBatch =
      request.deadlineMs - request.arrivedMs >= MIN_BATCH_LIMIT_MS;
    const initialPriority = isBatch
      ? BATCH_PRIORITY
      : (priority ?? DEFAULT_PRIORITY);
    return agePriority(
      initialPriority,
      request.arrivedMs,
      latestStartMs,
      nowMs,
    );
  }

  private estimateMs(
    request: RoutedRequest,
    rate: PrefillRate,
    waitTokens: number,
  ): number {
    const prefillTokens = waitTokens + request.promptTokens;
    const answerMs = request.answerTokens * DECODE_TOKEN_MS;
    return (prefillTokens / rate.tokensPerMs + answerMs) * SAFETY_FACTOR;
  }
}
