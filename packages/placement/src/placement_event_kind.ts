/** What can happen to the placement of engines. */
export enum PlacementEventKind {
  PLAN = 'plan',
  /** The settings in force give engines no orders. */
  DISABLED = 'disabled',
  MEMBERS = 'members',
  /** A peer or an earlier incarnation knows of this fencing number. */
  KNOWN = 'known',
  READ_BACK = 'read_back',
  READ_FAILED = 'read_failed',
  ORDERED = 'ordered',
  REFUSED = 'refused',
  FAILED = 'failed',
  WAKE = 'wake',
}
