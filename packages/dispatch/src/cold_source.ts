/** From what a host knows that an upstream is cold. */
export enum ColdSource {
  /** Its entry states for how long. */
  ENTRY = 'entry',
  /** It was listed for the first time. */
  LISTED = 'listed',
  /** Its entry names a later start. */
  RESTARTED = 'restarted',
}
