/** Kinds of inputs of the configuration logic. */
export enum ConfigurationEventKind {
  /** The service answered a watch or a read with a value. */
  VALUE = 'value',
  /** The service answered a watch or a read without a newer value. */
  UNCHANGED = 'unchanged',
  /** A watch or a read failed or timed out. */
  READ_FAILED = 'read_failed',
  /** A message from a peer arrived. */
  MESSAGE = 'message',
  /** The set of live hosts changed. */
  MEMBERS = 'members',
  /** The time that `wakeAtMs` gave has been reached. */
  WAKE = 'wake',
}
