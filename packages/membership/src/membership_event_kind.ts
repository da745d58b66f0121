/** Discriminates the variants of MembershipEvent. */
export enum MembershipEventKind {
  LIST = 'list',
  SETTINGS = 'settings',
  MESSAGE = 'message',
  WAKE = 'wake',
  REFUSED = 'refused',
  SELF_LEAVING = 'self_leaving',
  SELF_STOPPED = 'self_stopped',
  UPSTREAM_NEWS = 'upstream_news',
}
