import type {SuspectState} from '@parsleywood/requests';

/** Crash of upstreams while an attempt of a request ran on them. */
export interface ObservedCrash {
  /** Names of the upstreams. */
  readonly upstreams: readonly string[];
  /** What was known of the request when the attempt started. */
  readonly stateBefore: SuspectState;
  /** Whether the attempt ran as the only suspect there. */
  readonly wasIsolated: boolean;
  /** Whether a lease of the upstream kept other suspects away. */
  readonly hadLease: boolean;
  /** Whether nothing else ran there meanwhile, as far as this host knows. */
  readonly wasAlone: boolean;
  /** Monotonic time at which the attempt started, in milliseconds. */
  readonly startedAtMs: number;
}
