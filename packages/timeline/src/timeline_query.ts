/** Which events to read. */
export interface TimelineQuery {
  /** Only events of this request. */
  readonly requestId?: string;
  /** Only events after this wall time, in milliseconds since the epoch. */
  readonly afterMs?: number;
  /** Most events: the first ones after afterMs, else the last ones. */
  readonly limit?: number;
}
