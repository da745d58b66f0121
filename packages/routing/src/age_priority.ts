import type {AgedPriority} from './aged_priority.js';

/** Part of the slack after which a request starts to rise. */
const STEADY_PART = 0.5;

/**
 * Priority of a request as its slack runs out: that of its class for the first
 * half of the slack, then one step after another down to 0.
 *
 * @param classPriority Priority at first, 0 to 9; 0 is served first.
 * @param startedMs Monotonic time at which the request arrived.
 * @param latestStartMs Last time at which its prefill can start to end in time.
 */
export function agePriority(
  classPriority: number,
  startedMs: number,
  latestStartMs: number,
  nowMs: number,
): AgedPriority {
  const slackMs = latestStartMs - startedMs;
  if (slackMs <= 0 || nowMs >= latestStartMs) {
    return {priority: 0, changesAtMs: Infinity};
  }
  if (classPriority <= 0) return {priority: 0, changesAtMs: Infinity};
  const risesAtMs = startedMs + slackMs * STEADY_PART;
  const stepMs = (latestStartMs - risesAtMs) / classPriority;
  let steps =
    nowMs < risesAtMs ? 0 : Math.floor((nowMs - risesAtMs) / stepMs) + 1;
  // The division may round down at the very time of a step.
  if (risesAtMs + steps * stepMs <= nowMs) steps++;
  const priority = Math.max(0, classPriority - steps);
  const changesAtMs = priority === 0 ? Infinity : risesAtMs + steps * stepMs;
  return {priority, changesAtMs};
}
