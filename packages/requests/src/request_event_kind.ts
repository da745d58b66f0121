/** Kinds of events in the lifecycle of one request. */
export enum RequestEventKind {
  /** Admission control admitted the request. */
  ADMITTED = 'admitted',
  /** Admission control rejected the request. */
  REFUSED = 'refused',
  /** An upstream was chosen for the next attempt. */
  UPSTREAM_CHOSEN = 'chosen',
  /** No upstream has capacity for the next attempt. */
  NO_UPSTREAM = 'none_chosen',
  /** The upstream reported that it is working on the attempt. */
  PROGRESS = 'alive',
  /** The upstream generated text. */
  TEXT = 'text',
  /** The upstream completed the answer. */
  END = 'end',
  /** The attempt failed. */
  ATTEMPT_FAILED = 'attempt_failed',
  /** The caller closed the connection. */
  CALLER_GONE = 'caller_gone',
  /** The time that `wakeAtMs` returned has been reached. */
  WAKE = 'wake',
}
