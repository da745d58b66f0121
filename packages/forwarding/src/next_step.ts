/** What to do after an attempt has ended. */
export enum NextStep {
  /** Send the request to another upstream, or resume its stream there. */
  RETRY = 'retry',
  /** Relay the answer of the upstream to the caller. */
  FORWARD_ANSWER = 'pass_on',
  /** Answer the caller with an error of this host. */
  FAIL = 'fail',
}
