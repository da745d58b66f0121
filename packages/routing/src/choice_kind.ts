/** What the router decided. */
export enum ChoiceKind {
  /** Send the request to the named upstream. */
  UPSTREAM = 'upstream',
  /** The prompt exceeds one engine's memory; hand it to the spread plan. */
  SPREAD = 'spread',
  /** No upstream may take the request now. */
  NONE = 'none',
}
