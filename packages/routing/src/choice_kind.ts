/** Kinds of `Choice`. */
export enum ChoiceKind {
  /** Send the request to the named upstream. */
  UPSTREAM = 'upstream',
  /**
   * The request needs more KV memory than any single engine has; it runs on
   * several engines (see `SpreadScheduler`).
   */
  SPREAD = 'spread',
  /** No upstream can accept the request now. */
  NONE = 'none',
}
