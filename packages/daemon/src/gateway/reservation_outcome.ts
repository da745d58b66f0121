/** What became of an order to set memory aside. */
export enum ReservationOutcome {
  HELD = 'held',
  /** The engine has no room. */
  REFUSED = 'refused',
  /** The engine did not answer. */
  NO_ANSWER = 'no_answer',
}
