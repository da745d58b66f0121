/**
 * The revisions of base and overlay in force. Neither ever goes back on one
 * host, so `base + overlay` grows with each change.
 */
export interface ConfigurationRevision {
  readonly base: number;
  readonly overlay: number;
}
