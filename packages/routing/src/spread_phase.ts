/** Lifecycle phase of a spread prompt. */
export enum SpreadPhase {
  /** Has no reservation; waits for its first try or its next retry. */
  WAITING = 'waiting',
  /** Reserves memory on one engine after another. */
  RESERVING = 'reserving',
  /** Runs on all of the reserved engines. */
  RUNNING = 'running',
}
