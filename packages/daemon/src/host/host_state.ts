/** Lifecycle state of a host process. */
export enum HostState {
  STARTING = 'starting',
  SERVING = 'serving',
  DRAINING = 'draining',
}
