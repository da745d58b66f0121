/** Size and faults of a fleet on virtual time. */
export interface SuspectFleetOptions {
  readonly hosts: number;
  readonly upstreams: number;
  readonly seed: number;
  /** Share of the messages between hosts that never arrive. */
  readonly lossRatio: number;
  /** Share of the time in which messages on a path are held up, by up to 1.5 s. */
  readonly lateRatio: number;
  /** Share of the runs of bad requests that crash their upstream. */
  readonly crashRatio: number;
  /** Whether an upstream sends an event of the answer before it crashes. */
  readonly crashesInAnswer: boolean;
}
