import type {SubmitEvent} from './submit_event.js';

/** A call that waits for the outcome of its order. */
export interface Call {
  readonly submit: SubmitEvent;
  readonly order: string;
  /** Whether the call may go on to the issuer that its claim lost to. */
  mayFollow: boolean;
  /** Hosts still to be tried, in order. */
  route: string[];
  /** Hosts that the call was forwarded to and that have not answered. */
  readonly pending: Set<string>;
  /** Host that the call was last forwarded to. */
  latest?: string;
  /** When the next host is tried, in milliseconds. */
  nextAtMs: number;
  /** Whether this host's own claim is to answer the call. */
  awaitsClaim: boolean;
  /** Whether another issuer may have dispatched the order. */
  lost: boolean;
  /** How often that issuer is asked again. */
  followsLeft: number;
}
