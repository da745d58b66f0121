import type {SubmitEvent} from './submit_event.js';

/** An open call that waits for the outcome of its order. */
export interface Call {
  readonly submit: SubmitEvent;
  readonly orderId: string;
  /**
   * Whether the call may be forwarded to the issuer that its claim lost to.
   * Prevents hosts from forwarding a call to each other in a loop.
   */
  mayForwardToIssuer: boolean;
  /** Hosts that the call is still to be forwarded to, first one first. */
  route: string[];
  /** Hosts that the call was forwarded to and that have not yet answered. */
  readonly pending: Set<string>;
  /** Host that the call was last forwarded to. */
  latest?: string;
  /** Monotonic time at which the next host is tried, in milliseconds. */
  nextHostAtMs: number;
  /** Whether the call waits for this host's own claim. */
  awaitsClaim: boolean;
  /** Whether the claim lost, so another issuer may have run the order. */
  claimLost: boolean;
  /** Remaining retries of the forward to that issuer. */
  issuerRetriesLeft: number;
}
