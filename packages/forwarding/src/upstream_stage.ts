/** Stage of an upstream's life, as it publishes it. */
export enum UpstreamStage {
  READY = 'ready',
  /** Finishes what it has and takes no new work. */
  DRAINING = 'draining',
}
