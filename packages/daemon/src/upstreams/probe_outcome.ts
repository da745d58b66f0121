/** Result of a health probe of an upstream. */
export enum ProbeOutcome {
  /** The upstream answered with status 200. */
  UP = 'up',
  /** The connection was refused or reset: the process is gone. */
  GONE = 'gone',
  /** No answer within the timeout, another status, or another error. */
  SILENT = 'silent',
}
