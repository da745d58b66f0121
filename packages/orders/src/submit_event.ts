import type {OrderEventKind} from './order_event_kind.js';

/** A call with an idempotency key has arrived from a caller or a peer. */
export interface SubmitEvent {
  readonly kind: OrderEventKind.SUBMIT;
  /** Id of the call on this host; unique while the call is open. */
  readonly call: string;
  readonly account: string;
  readonly key: string;
  /** Digest of service, method, path and body. */
  readonly fingerprint: string;
  /** Monotonic time by which the call must be answered, in milliseconds. */
  readonly deadlineMs: number;
  /** Wall-clock time, in milliseconds since the epoch. */
  readonly wallMs: number;
  /** Whether a peer forwarded the call with a RunOrder request. */
  readonly forwarded: boolean;
}
