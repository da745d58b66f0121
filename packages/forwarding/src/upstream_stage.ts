/** Lifecycle stage that an upstream publishes. */
export enum UpstreamStage {
  READY = 'ready',
  /** Finishes its requests and accepts no new ones. */
  DRAINING = 'draining',
}
