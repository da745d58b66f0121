import type {RequestKind} from './request_kind.js';
import type {RouteTarget} from './route_target.js';

/** Targets and rules for the requests of one host name and path prefix. */
export interface Route {
  readonly name: string;
  /** Host name in the requests, in lower case. */
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Whether a stream can resume on another upstream after the last event. */
  readonly resumable: boolean;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of attempts of one request that may have run. */
  readonly maxAttempts: number;
  /**
   * Time limit of a request, in milliseconds; absent when the route sets none.
   */
  readonly timeoutMs?: number;
  /** Latency objective for the complete answer or the first event, in ms. */
  readonly latencyObjectiveMs: number;
  /** Objective for the pause between events, in ms; absent for plain calls. */
  readonly pauseObjectiveMs?: number;
  /** Priority of the requests, 0 the highest. */
  readonly priority: number;
  /** Whether requests are accepted without an API key. */
  readonly allowsAnonymous: boolean;
  /** Regions whose upstreams may run its requests; absent for any. */
  readonly homeRegions?: readonly string[];
}
