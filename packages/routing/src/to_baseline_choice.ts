import {BASELINE_PRIORITY} from './baseline_priority.js';
import type {Choice} from './choice.js';
import {ChoiceKind} from './choice_kind.js';
import {ChoiceReason} from './choice_reason.js';
import type {RoutedRequest} from './routed_request.js';
import type {Upstream} from './upstream.js';

/**
 * Result of a baseline router: constant priority, and a chunk size that covers
 * the whole prompt.
 */
export function toBaselineChoice(
  request: RoutedRequest,
  upstream: Upstream,
  reason: ChoiceReason,
): Choice {
  if (request.promptTokens + request.answerTokens > upstream.memoryTokens) {
    return {
      kind: ChoiceKind.SPREAD,
      reason: ChoiceReason.EXCEEDS_ENGINE,
      priority: BASELINE_PRIORITY,
    };
  }
  return {
    kind: ChoiceKind.UPSTREAM,
    upstream: upstream.name,
    reason,
    priority: BASELINE_PRIORITY,
    chunkTokens: request.promptTokens,
    cachedTokens: 0,
    priorityChangesAtMs: Infinity,
  };
}
