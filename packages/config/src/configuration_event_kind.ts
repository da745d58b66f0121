/** What can happen to a configuration ledger. */
export enum ConfigurationEventKind {
  /** The service answered a watch or a read with a value. */
  VALUE = 'value',
  /** The service answered a watch or a read with nothing newer. */
  UNCHANGED = 'unchanged',
  /** A watch or a read failed or timed out. */
  READ_FAILED = 'read_failed',
  /** A message of a peer came in. */
  MESSAGE = 'message',
  /** The view of the live hosts changed. */
  MEMBERS = 'members',
  /** The time of `wakeAtMs` came. */
  WAKE = 'wake',
}
