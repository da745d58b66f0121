/** Whether requests with a given fingerprint are known to crash upstreams. */
export enum CrashStatus {
  /** No crash is recorded. */
  CLEAR = 'clear',
  /**
   * An upstream crashed while running it; its next attempt runs without other
   * suspects.
   */
  SUSPECT = 'suspect',
  /**
   * An upstream crashed while it was the only suspect there, or several did in
   * a row; it is rejected for a while, and then a suspect again.
   */
  BLOCKED = 'condemned',
}
