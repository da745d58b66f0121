/** Up to this fraction of the objective, a forecast counts as on time. */
const ON_TIME_FRACTION = 0.8;
/** From this fraction of the objective on, a forecast counts as late. */
const LATE_FRACTION = 1.05;
/** Fraction of a request's value that a late answer loses. */
const LATE_LOSS_FRACTION = 0.75;

/**
 * Expected fraction of a request's value that is lost when it takes the given time,
 * 0 to 1. Between the two thresholds the loss rises linearly, because the forecast
 * may be wrong in either direction.
 */
export function estimateLatenessLoss(
  ms: number,
  {
    objectiveMs,
    callerTimeoutMs,
  }: {objectiveMs: number; callerTimeoutMs: number},
): number {
  if (ms >= callerTimeoutMs) return 1;
  if (objectiveMs === Infinity) return 0;
  const onTimeMs = ON_TIME_FRACTION * objectiveMs;
  const lateMs = LATE_FRACTION * objectiveMs;
  if (ms >= lateMs) return LATE_LOSS_FRACTION;
  if (ms <= onTimeMs) return 0;
  return (LATE_LOSS_FRACTION * (ms - onTimeMs)) / (lateMs - onTimeMs);
}
