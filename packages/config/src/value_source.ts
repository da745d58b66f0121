/** Where a value in force comes from. */
export enum ValueSource {
  BASE = 'base',
  OVERLAY = 'overlay',
  DEFAULT = 'default',
}
