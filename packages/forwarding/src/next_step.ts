/** What follows an attempt. */
export enum NextStep {
  /** Send the request, or the rest of it, to another upstream. */
  RETRY = 'retry',
  /** Give the caller the upstream's own answer. */
  PASS_ON = 'pass_on',
  /** Give the caller a failure of this host. */
  FAIL = 'fail',
}
