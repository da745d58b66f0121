/** Discriminates the variants of MembershipAction. */
export enum MembershipActionKind {
  SEND = 'send',
  MEMBER_CHANGED = 'member_changed',
  LIST_ADOPTED = 'list_adopted',
  SUPERSEDED = 'superseded',
  DECLARED_DEAD = 'declared_dead',
  STALLED = 'stalled',
  UPSTREAM_REPORTED = 'upstream_told',
}
