/** What is held of a request by its fingerprint. */
export enum Verdict {
  /** Nothing is known against it. */
  CLEAR = 'clear',
  /** An upstream crashed while it ran there; its next attempt runs alone. */
  SUSPECT = 'suspect',
  /** It crashed an upstream while no other suspect ran there: it runs no more. */
  CONDEMNED = 'condemned',
}
