import {agePriority} from './age_priority.js';
import type {AgedPriority} from './aged_priority.js';
import type {LengthClasses} from './length_classes.js';
import type {PrefillRate} from './prefill_rate.js';
import type {RoutedRequest} from './routed_request.js';

/** Time that an engine takes for one token of the answer. */
const ANSWER_TOKEN_MS = 20;
/** Factor on the expected time of a request. */
const SAFETY = 1.5;
const DEFAULT_PRIORITY = 5;

/** Compares the expected time of a request with its time limit. */
export class RequestTiming {
  constructor(private readonly classes: LengthClasses) {}

  /**
   * Whether the request is expected to miss its limit.
   *
   * @param waitTokens Prompt tokens ahead of it.
   */
  isLate(
    request: RoutedRequest,
    rate: PrefillRate,
    waitTokens: number,
    nowMs: number,
  ): boolean {
    const expectedMs = this.expectMs(request, rate, waitTokens);
    return nowMs + expectedMs > request.deadlineMs;
  }

  /** Priority of a request at this time. */
  age(request: RoutedRequest, rate: PrefillRate, nowMs: number): AgedPriority {
    const {priority} = this.classes.classOf(request.promptTokens);
    const latestMs = request.deadlineMs - this.expectMs(request, rate, 0);
    const first = priority ?? DEFAULT_PRIORITY;
    return agePriority(first, request.arrivedMs, latestMs, nowMs);
  }

  private expectMs(
    request: RoutedRequest,
    rate: PrefillRate,
    waitTokens: number,
  ): number {
    const prefillTokens = waitTokens + request.promptTokens;
    const answerMs = request.answerTokens * ANSWER_TOKEN_MS;
    return (prefillTokens / rate.tokensPerMs + answerMs) * SAFETY;
  }
}
