/** What the list says of an upstream. */
export enum UpstreamPresence {
  LISTED = 'listed',
  /** Its entry may have lapsed while the upstream is live. */
  LAPSED = 'lapsed',
  UNLISTED = 'unlisted',
  /** Another upstream is listed at its address. */
  REPLACED = 'replaced',
}
