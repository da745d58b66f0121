/** What the caller of the decision logic has to do for one request. */
export enum RequestActionKind {
  /** Choose an upstream, then report UPSTREAM_CHOSEN or NO_UPSTREAM. */
  CHOOSE_UPSTREAM = 'choose',
  /** Send the attempt to its upstream. */
  START_ATTEMPT = 'start_attempt',
  /** Tell the upstream to stop working on the attempt. */
  CANCEL_ATTEMPT = 'cancel_attempt',
  /** Send text to the caller. */
  EMIT = 'emit',
  /** Complete the answer. */
  FINISH = 'finish',
  /** End the request with an error. */
  FAIL = 'fail',
}
