import type {PromptDemand} from '@parsleywood/dispatch';
import {
  attemptTimeouts,
  type RouteMatch,
  type Service,
} from '@parsleywood/forwarding';
import type {ReceivedRequest} from '../callers/received_request.js';

/**
 * Upper bound of a caller's answer estimate, as a multiple of the mean answer
 * length. Estimates are often far off.
 */
const MAX_ANSWER_FACTOR = 10;

/**
 * Describes what an attempt needs. Load pattern: upstreams crash under streams that
 * have lasted for longer than callers wait for a first event.
 *
 * @param deadlineMs Monotonic deadline of the request.
 * @param lastEventAtMs Monotonic time of the last event that the caller got, if it
 *     got any: from then on callers wait for the next one.
 */
export function describeDemand(
  {route}: RouteMatch,
  service: Service | undefined,
  {metadata, receivedAtMs}: ReceivedRequest,
  deadlineMs: number,
  lastEventAtMs: number | undefined,
  nowMs: number,
): PromptDemand {
  const hasBegun = lastEventAtMs !== undefined;
  const elapsedMs = nowMs - (lastEventAtMs ?? receivedAtMs);
  const {latencyObjectiveMs, pauseObjectiveMs = Infinity} = route;
  const objectiveMs = hasBegun ? pauseObjectiveMs : latencyObjectiveMs;
  const meanTokens = service?.engine?.meanAnswerTokens ?? 0;
  const maxTokens = metadata.maxAnswerTokens || Infinity;
  return {
    promptTokens: metadata.promptTokens,
    answerTokens: Math.min(
      metadata.estimatedAnswerTokens || meanTokens,
      maxTokens,
      MAX_ANSWER_FACTOR * meanTokens,
    ),
    objectiveMs: objectiveMs - elapsedMs,
    callerTimeoutMs: Math.min(
      attemptTimeouts.getCallerTimeoutMs(route) - elapsedMs,
      deadlineMs - nowMs,
    ),
  };
}
