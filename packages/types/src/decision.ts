/**
 * Deterministic state machine without I/O: the same events at the same times
 * give the same actions. An adapter delivers the events and carries out the
 * actions.
 */
export interface Decision<Event, Action> {
  /**
   * Applies an event to the state.
   *
   * @param nowMs Monotonic time, in milliseconds; must not decrease.
   * @return Actions for the adapter, in the order in which to start them.
   */
  handle(event: Event, nowMs: number): Action[];

  /**
   * Returns the monotonic time, in milliseconds, at which the adapter has to
   * deliver the next wake event; Infinity if none is due.
   */
  wakeAtMs(): number;
}
