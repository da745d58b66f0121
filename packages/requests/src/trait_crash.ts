import type {RequestTraits} from './request_traits.js';

/** Crash of an upstream while a request ran on it, as one host saw it. */
export interface TraitCrash extends RequestTraits {
  readonly upstream: string;
  /** SHA-256 that identifies the request, in hexadecimal. */
  readonly request: string;
  /** Whether nothing else ran there, as far as the host knows. */
  readonly wasAlone: boolean;
  /** Monotonic time at which the attempt started, in milliseconds. */
  readonly startedAtMs: number;
  /** Monotonic time at which the crash was noticed, in milliseconds. */
  readonly crashedAtMs: number;
}
