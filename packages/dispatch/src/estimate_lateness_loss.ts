/** Part of an objective up to which a forecast is trusted to be in time. */
const SURE_PART = 0.8;
/** Part of an objective from which a forecast is late. */
const LATE_PART = 1.05;
/** What a late answer has lost of its worth. */
const LATE_LOSS = 0.75;

/**
 * The part of a request's worth that a time is expected to lose, 0 to 1. It grows
 * over the span in which the forecast may err.
 */
export function lateLoss(
  ms: number,
  {objectiveMs, patienceMs}: {objectiveMs: number; patienceMs: number},
): number {
  if (ms >= patienceMs) return 1;
  if (objectiveMs === Infinity) return 0;
  const sureMs = SURE_PART * objectiveMs;
  const lateMs = LATE_PART * objectiveMs;
  if (ms >= lateMs) return LATE_LOSS;
  if (ms <= sureMs) return 0;
  return (LATE_LOSS * (ms - sureMs)) / (lateMs - sureMs);
}
