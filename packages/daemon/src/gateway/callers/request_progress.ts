/** How far a request had come when its caller left. */
export enum RequestProgress {
  UNSENT = 'unsent',
  SENT = 'sent',
  /** The head of an answer had arrived. */
  ANSWERED = 'answered',
}
