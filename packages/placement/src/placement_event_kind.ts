/** Kinds of events that the adapter delivers to the placement logic. */
export enum PlacementEventKind {
  PLAN = 'plan',
  /** The settings in force disable placement, or no plan can be made. */
  DISABLED = 'disabled',
  MEMBERS = 'members',
  /** A peer or an earlier incarnation of this host saw this fencing token. */
  FENCING_SEEN = 'fencing_seen',
  READ_BACK = 'read_back',
  READ_FAILED = 'read_failed',
  /** The engine accepted the command, or it expired before it was sent. */
  COMMAND_ENDED = 'ordered',
  /** The engine rejected the command because its fencing token is outdated. */
  COMMAND_REFUSED = 'refused',
  /** The outcome of the command is unknown. */
  COMMAND_FAILED = 'failed',
  WAKE = 'wake',
}
