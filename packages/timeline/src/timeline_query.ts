/** Filters for reading events; all that are given apply. */
export interface TimelineQuery {
  /** Only events of this request; empty means all. */
  readonly requestId?: string;
  /**
   * Only events after this wall-clock time, in milliseconds since the epoch; 0
   * means all.
   */
  readonly afterMs?: number;
  /**
   * Maximum number of events: the oldest matches if afterMs is above 0, else the
   * latest.
   */
  readonly limit?: number;
}
