/** One run of a host's process; a restart is another incarnation. */
export interface Incarnation {
  /** Name of the host. */
  readonly host: string;
  /** Start time in milliseconds since the epoch, a dash, and random hexadecimal. */
  readonly id: string;
}
