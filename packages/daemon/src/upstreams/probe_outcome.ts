/** What a probe of an upstream found. */
export enum ProbeOutcome {
  UP = 'up',
  /** The address refuses connections. */
  GONE = 'gone',
  /** No answer in time, or not the one expected. */
  SILENT = 'silent',
}
