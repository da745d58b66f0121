/** What an admission is told. */
export enum AdmissionEventKind {
  /** A request asks for admission; it is answered by ADMIT or REFUSE. */
  OFFER = 'offer',
  /** An admitted request was sent to an upstream. */
  STARTED = 'started',
  FIRST_TOKEN = 'first_token',
  /** An admitted request ended, with or without a whole answer. */
  FINISHED = 'finished',
  /** The caller is gone, before or after admission. */
  CANCELLED = 'cancelled',
  SETTINGS = 'settings',
  /** The other live hosts of the site. */
  PEERS = 'peers',
  LIMIT_MESSAGE = 'limit_message',
  WAKE = 'wake',
}
