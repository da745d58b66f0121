/**
 * The active revisions of base and overlay. Neither ever decreases on one host,
 * so `base + overlay` increases with each change.
 */
export interface ConfigurationRevision {
  readonly base: number;
  readonly overlay: number;
}
