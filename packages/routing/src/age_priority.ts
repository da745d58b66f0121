import type {AgedPriority} from './aged_priority.js';

/**
 * Fraction of the slack after which the priority of a request starts to rise.
 */
const STEADY_FRACTION = 0.5;

/**
 * Raises the priority of a request as its slack runs out. The request keeps its
 * initial priority for the first half of the slack; then the number decreases in
 * equal steps to 0, which is served first.
 *
 * @param classPriority Initial priority, 0 (served first) to 9.
 * @param arrivedMs Monotonic time of arrival of the request.
 * @param latestStartMs Latest monotonic time at which the prefill can start for
 *   the request to meet its deadline.
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
  // The division can round down when nowMs is exactly the time of a step.
  if (ageingStartsAtMs + steps * stepMs <= nowMs) steps++;
  const priority = Math.max(0, classPriority - steps);
  const changesAtMs =
    priority === 0 ? Infinity : ageingStartsAtMs + steps * stepMs;
  return {priority, changesAtMs};
}
