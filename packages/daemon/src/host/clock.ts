/** Source of the current time; tests replace it. */
export interface Clock {
  /** Monotonic time, in milliseconds. */
  nowMs(): number;
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  wallMs(): number;
}
