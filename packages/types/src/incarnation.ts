/** Identifies one run of a host's process; each restart has a new incarnation. */
export interface Incarnation {
  /** Name of the host. */
  readonly host: string;
  /** Start time in milliseconds since the epoch, a dash and random hex digits. */
  readonly id: string;
}
