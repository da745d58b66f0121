/** What a test of the path to an upstream has shown, the best last. */
export enum PathResult {
  /** No connection opened, or it was closed at once. */
  REFUSED = 'refused',
  /** A connection opened, and nothing came back over it. */
  SILENT = 'silent',
  /** Something came back, or a connection opened where nothing was asked. */
  WORKING = 'working',
}
