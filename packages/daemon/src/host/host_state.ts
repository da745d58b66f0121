/** Where a host's process stands. */
export enum HostState {
  STARTING = 'starting',
  SERVING = 'serving',
  DRAINING = 'draining',
}
