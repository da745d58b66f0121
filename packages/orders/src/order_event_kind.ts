/** Discriminates the events that `Orders` handles. */
export enum OrderEventKind {
  SUBMIT = 'submit',
  FORWARD_FAILED = 'forward_failed',
  FORWARDED_OUTCOME = 'forwarded_outcome',
  MESSAGE = 'message',
  VIEW = 'view',
  PEER = 'peer',
  OUTCOME = 'outcome',
  SETTINGS = 'settings',
  WAKE = 'wake',
  CLOSE = 'close',
}
