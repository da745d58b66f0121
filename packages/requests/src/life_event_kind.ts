/** What can happen to one request. */
export enum LifeEventKind {
  /** The request was admitted. */
  ADMITTED = 'admitted',
  /** The request was refused before it ran. */
  REFUSED = 'refused',
  /** An upstream was chosen for the next attempt. */
  CHOSEN = 'chosen',
  /** No upstream can take the next attempt now. */
  NONE_CHOSEN = 'none_chosen',
  /** The upstream showed that it works on the attempt. */
  ALIVE = 'alive',
  /** The upstream generated text. */
  TEXT = 'text',
  /** The upstream ended the answer. */
  END = 'end',
  /** The attempt failed. */
  ATTEMPT_FAILED = 'attempt_failed',
  /** The caller closed the connection. */
  CALLER_GONE = 'caller_gone',
  /** The time of `wakeAtMs` came. */
  WAKE = 'wake',
}
