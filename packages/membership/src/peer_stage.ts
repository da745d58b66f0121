/** Readiness that a host reports about itself. */
export enum PeerStage {
  STARTING = 'starting',
  READY = 'ready',
  STOPPING = 'stopping',
}
