/** What a spread plan asks its adapter to do. */
export enum SpreadActionKind {
  /** Ask an engine to hold memory, or renew the lease on memory that it holds. */
  RESERVE = 'reserve',
  /** Ask an engine to free memory; sent also where the outcome is unknown. */
  RELEASE = 'release',
  /** All engines hold memory: run the prompt on them. */
  START = 'start',
  /** An engine dropped out of the run: end it; it may be needed anew. */
  STOP = 'stop',
  /** The prompt cannot run within its limit: answer at once. */
  REFUSE = 'refuse',
}
