/** What a host says of its own readiness. */
export enum PeerStage {
  STARTING = 'starting',
  READY = 'ready',
  STOPPING = 'stopping',
}
