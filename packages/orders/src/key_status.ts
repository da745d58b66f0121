/** Whether a witness's memory reaches back to the first use of a key. */
export enum KeyStatus {
  COVERED = 'covered',
  NOT_COVERED = 'not_covered',
  EXPIRED = 'expired',
}
