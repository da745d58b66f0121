import type {PromptReservations} from './prompt_reservations.js';
import type {ResponseSwitch} from './response_switch.js';
import type {UpstreamAttempt} from '../upstreams/upstream_attempt.js';

/** An attempt that is sent, with what is reserved for it. */
export interface SentAttempt {
  readonly attempt: UpstreamAttempt;
  readonly response: ResponseSwitch;
  readonly reservations: PromptReservations | undefined;
}
