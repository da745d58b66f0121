import type {SuspectState} from '@parsleywood/requests';

/** Crash of upstreams while an attempt of a request ran on them. */
export interface ObservedCrash {
  /** Names of the upstreams. */
  readonly upstreams: readonly string[];
  /** What was known of the request when the attempt started. */
  readonly stateBefore: SuspectState;
  /** Whether the attempt ran as the only suspect there. */
  readonly wasIsolated: boolean;
  /** Monotonic time at which the attempt started, in milliseconds. */
  readonly startedAtMs: number;
}
