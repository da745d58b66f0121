import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {OrderSettings} from '@parsleywood/schema/settings';
import type {MessageEvent} from './message_event.js';
import type {OrderEventKind} from './order_event_kind.js';
import type {PeerState} from './peer_state.js';
import type {SubmitEvent} from './submit_event.js';

/** An event that the order decision takes. */
export type OrderEvent =
  | SubmitEvent
  | MessageEvent
  /** A forwarded call got no answer: refused, severed or timed out. */
  | {
      readonly kind: OrderEventKind.FORWARD_FAILED;
      readonly call: string;
      readonly to: string;
    }
  /** A forwarded call got its answer. */
  | {
      readonly kind: OrderEventKind.FORWARDED_OUTCOME;
      readonly call: string;
      readonly from: string;
      readonly outcome: OrderOutcome;
    }
  /** The list of hosts has a new revision. */
  | {
      readonly kind: OrderEventKind.VIEW;
      /** Revision of the list; 1 or more. */
      readonly number: number;
      /** Live and leaving hosts. */
      readonly members: readonly string[];
      readonly leaving: readonly string[];
    }
  /** Failure detection has news of a peer. */
  | {
      readonly kind: OrderEventKind.PEER;
      readonly host: string;
      readonly incarnation: string;
      readonly state: PeerState;
    }
  /** A dispatched order has ended, with an answer or an error. */
  | {
      readonly kind: OrderEventKind.OUTCOME;
      readonly account: string;
      readonly key: string;
      readonly outcome: OrderOutcome;
    }
  | {
      readonly kind: OrderEventKind.SETTINGS;
      readonly orders: OrderSettings;
    }
  /** The time given by `wakeAtMs` has come. */
  | {readonly kind: OrderEventKind.WAKE}
  /** The host stops gracefully: it issues and votes no more. */
  | {readonly kind: OrderEventKind.CLOSE};
