/** Current priority of a request and the time of its next change. */
export interface AgedPriority {
  readonly priority: number;
  /**
   * Monotonic time at which the priority changes next; Infinity when it stays
   * constant.
   */
  readonly changesAtMs: number;
}
