/** Whether a request was run by an upstream. */
export enum Ran {
  /** Proved not to have run, nor to run later. */
  NO = 'no',
  YES = 'yes',
  UNKNOWN = 'unknown',
}
