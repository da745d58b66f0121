import type {SubmitEvent} from './submit_event.js';

/** A call that waits for the outcome of its order. */
export interface Call {
  readonly submit: SubmitEvent;
  readonly orderId: string;
  /** Whether the call may go on to the issuer that its claim lost to. */
  mayForwardToIssuer: boolean;
  /** Hosts still to be tried, in order. */
  route: string[];
  /** Hosts that the call was forwarded to and that have not answered. */
  readonly pending: Set<string>;
  /** Host that the call was last forwarded to. */
  latest?: string;
  /** When the next host is tried, in milliseconds. */
  nextHostAtMs: number;
  /** Whether this host's own claim is to answer the call. */
  awaitsClaim: boolean;
  /** Whether another issuer may have dispatched the order. */
  claimLost: boolean;
  /** How often that issuer is asked again. */
  issuerRetriesLeft: number;
}
