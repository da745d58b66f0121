/** Why an upstream is on probation, or why its probation has ended. */
export enum PaceReason {
  /** Its id is new, or it was born later than known. */
  STARTED = 'started',
  /** Its entry says that it is cold. */
  COLD = 'cold',
  /** Its cold time has ended. */
  WARMED = 'warmed',
  /** It is used again after it was avoided as failing. */
  RECOVERED = 'recovered',
  /** End: its window reached its slots, and its last first events were in time. */
  IN_TIME = 'in_time',
  /** End: the longest time for a probation has passed. */
  TIME_OVER = 'time_over',
}
