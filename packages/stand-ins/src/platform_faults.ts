/** Faults of the platform, as given to POST /faults. */
export interface PlatformFaults {
  /** Whether each read is cut off without an answer. */
  readonly down?: boolean;
  /** Whether values are served as they were when this was set. */
  readonly stale?: boolean;
  /** Delay of host and upstream lists published from now on, in milliseconds. */
  readonly lagListMs?: number;
}
