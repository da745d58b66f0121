/** Whether an upstream ran a request; decides whether a retry is safe. */
export enum ExecutionStatus {
  /** Guaranteed neither to have run nor to run later. */
  NO = 'no',
  YES = 'yes',
  UNKNOWN = 'unknown',
}
