/** Whether a witness's claim records cover every earlier use of a key. */
export enum KeyStatus {
  COVERED = 'covered',
  NOT_COVERED = 'not_covered',
  EXPIRED = 'expired',
}
