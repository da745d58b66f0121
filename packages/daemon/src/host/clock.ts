/** Source of time. */
export interface Clock {
  /** Monotonic time, in milliseconds. */
  nowMs(): number;
  /** Time of day, in milliseconds since the epoch. */
  wallMs(): number;
}
