/** What the adapter has to do for one request. */
export enum LifeActionKind {
  /** Choose an upstream, then report CHOSEN or NONE_CHOSEN. */
  CHOOSE = 'choose',
  /** Send the attempt to its upstream. */
  START_ATTEMPT = 'start_attempt',
  /** Tell the upstream to drop the attempt. */
  CANCEL_ATTEMPT = 'cancel_attempt',
  /** Pass text to the caller. */
  EMIT = 'emit',
  /** End the answer. */
  FINISH = 'finish',
  /** End the request with an error. */
  FAIL = 'fail',
}
