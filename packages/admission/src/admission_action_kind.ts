/** Kinds of admission action. Each request gets at most one ADMIT or REFUSE. */
export enum AdmissionActionKind {
  /** Route the request now. */
  ADMIT = 'admit',
  /** Answer the request with an error now. */
  REFUSE = 'refuse',
  /** Send a message to a peer; delivery is not guaranteed. */
  SEND = 'send',
}
