/** Kinds of `SpreadAction`. */
export enum SpreadActionKind {
  /** Request a lease on memory of an engine, or renew it. */
  RESERVE = 'reserve',
  /**
   * Ask an engine to free the memory; also sent when the result of a
   * reservation is unknown.
   */
  RELEASE = 'release',
  /** All engines have reserved the memory: run the prompt on them. */
  START = 'start',
  /**
   * An engine of the run was lost: stop the run. The prompt may be submitted
   * again.
   */
  STOP = 'stop',
  /**
   * The prompt cannot run within its time limit, or all engines together have too
   * little memory: answer with an error now.
   */
  REFUSE = 'refuse',
}
