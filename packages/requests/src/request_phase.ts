/** Phase of a request, from admission queue to final answer. */
export enum RequestPhase {
  QUEUED = 'queued',
  CHOOSING = 'choosing',
  RUNNING = 'running',
  FINISHED = 'over',
}
