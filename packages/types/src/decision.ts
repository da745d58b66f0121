/**
 * Decision logic without I/O: the same events at the same times give the same
 * actions.
 */
export interface Decision<Event, Action> {
  /**
   * Takes one event.
   *
   * @param event What happened.
   * @param nowMs Monotonic time, in milliseconds; never goes back.
   * @return What the adapter has to do, in order.
   */
  handle(event: Event, nowMs: number): Action[];

  /**
   * Monotonic time, in milliseconds, at which the next wake event is due;
   * Infinity when none is.
   */
  wakeAtMs(): number;
}
