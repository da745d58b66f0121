import type {AgedPriority} from './aged_priority.js';

/** Part of the slack after which a request starts to rise. */
const STEADY_FRACTION = 0.5;

/**
 * Priority of a request as its slack runs out: that of its class for the first
 * half of the slack, then one step after another down to 0.
 *
 * @param classPriority Priority at first, 0 to 9; 0 is served first.
 * @param arrivedMs Monotonic time at which the request arrived.
 * @param latestStartMs Last time at which its prefill can start to end in time.
 */
export function agePriority(
  classPriority: number,
  arrivedMs: number,
  latestStartMs: number,
  nowMs: number,
): AgedPriority {
  const slackMs = latestStartMs - arrivedMs;
  if (slackMs <= 0 || nowMs >= latestStartMs) {
    return {priority: 0, changesAtMs: Infinity};
  }
  if (classPriority <= 0) return {priority: 0, changesAtMs: Infinity};
  const ageingStartsAtMs = arrivedMs + slackMs * STEADY_FRACTION;
  const stepMs = (latestStartMs - ageingStartsAtMs) / classPriority;
  let steps =
    nowMs < ageingStartsAtMs
      ? 0
      : Math.floor((nowMs - ageingStartsAtMs) / stepMs) + 1;
  // The division may round down at the very time of a step.
  if (ageingStartsAtMs + steps * stepMs <= nowMs) steps++;
  const priority = Math.max(0, classPriority - steps);
  const changesAtMs =
    priority === 0 ? Infinity : ageingStartsAtMs + steps * stepMs;
  return {priority, changesAtMs};
}
