/** What an admission asks its adapter to do. */
export enum AdmissionActionKind {
  /** Route the request now. */
  ADMIT = 'admit',
  /** Answer the request now. */
  REFUSE = 'refuse',
  /** Deliver a message to a peer; it may be lost. */
  SEND = 'send',
}
