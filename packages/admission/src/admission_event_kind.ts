/** Kinds of admission event. */
export enum AdmissionEventKind {
  /** A request arrived; the answer is an ADMIT or REFUSE action. */
  REQUESTED = 'offer',
  /** An admitted request was sent to an upstream. */
  STARTED = 'started',
  FIRST_TOKEN = 'first_token',
  /** An admitted request ended, with or without a complete answer. */
  FINISHED = 'finished',
  /** The caller disconnected, before or after admission. */
  CANCELLED = 'cancelled',
  SETTINGS = 'settings',
  /** The other live hosts of the site. */
  PEERS = 'peers',
  LIMIT_MESSAGE = 'limit_message',
  /** The time of `wakeAtMs()` came. */
  WAKE = 'wake',
}
