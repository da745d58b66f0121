/** Result of a request to reserve engine memory. */
export enum ReservationOutcome {
  HELD = 'held',
  /** The engine has too little free memory. */
  REFUSED = 'refused',
  /** The engine did not respond. */
  NO_ANSWER = 'no_answer',
}
