/** How far a spread prompt has come. */
export enum SpreadPhase {
  /** Holds nothing; waits for its next try. */
  WAITING = 'waiting',
  /** Reserves one engine after another. */
  RESERVING = 'reserving',
  /** Runs on all of its engines. */
  RUNNING = 'running',
}
