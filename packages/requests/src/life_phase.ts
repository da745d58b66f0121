/** Where a request stands. */
export enum LifePhase {
  QUEUED = 'queued',
  CHOOSING = 'choosing',
  RUNNING = 'running',
  OVER = 'over',
}
