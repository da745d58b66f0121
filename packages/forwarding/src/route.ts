import type {RequestKind} from './request_kind.js';
import type {RouteTarget} from './route_target.js';

/** Where the requests of a host name and path prefix go, and under which rules. */
export interface Route {
  readonly name: string;
  /** Host name that callers ask for, in lower case. */
  readonly host: string;
  /** Start of the path; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Whether a stream may go on at another upstream after the last event. */
  readonly resumable: boolean;
  readonly targets: readonly RouteTarget[];
  /** Most upstreams to which one request may be sent. */
  readonly maxAttempts: number;
  /** Longest time that a request is kept waiting, in milliseconds; absent for none. */
  readonly timeoutMs?: number;
  /** Latency objective, in milliseconds: whole answer, or first event. */
  readonly latencyObjectiveMs: number;
  /** Longest pause between events that is in time; absent for plain calls. */
  readonly pauseObjectiveMs?: number;
  /** Rank, 0 the highest. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly allowsAnonymous: boolean;
}
