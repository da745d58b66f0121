/** Where a value of the merged settings comes from. */
export enum ValueSource {
  BASE = 'base',
  OVERLAY = 'overlay',
  /** The schema's default; neither document gives a value. */
  DEFAULT = 'default',
}
