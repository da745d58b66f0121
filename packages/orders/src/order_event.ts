import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {OrderSettings} from '@parsleywood/schema/settings';
import type {MessageEvent} from './message_event.js';
import type {OrderEventKind} from './order_event_kind.js';
import type {PeerState} from './peer_state.js';
import type {SubmitEvent} from './submit_event.js';

/** An event that `Orders` handles. */
export type OrderEvent =
  | SubmitEvent
  | MessageEvent
  /** A forwarded call failed: refused, connection lost or timed out. */
  | {
      readonly kind: OrderEventKind.FORWARD_FAILED;
      readonly call: string;
      readonly to: string;
    }
  /** A forwarded call was answered. */
  | {
      readonly kind: OrderEventKind.FORWARDED_OUTCOME;
      readonly call: string;
      readonly from: string;
      readonly outcome: OrderOutcome;
    }
  /** The list of hosts has a new revision. */
  | {
      readonly kind: OrderEventKind.VIEW;
      /** Revision of the host list; 1 or more. */
      readonly number: number;
      /** Names of all hosts of the list, including those that are leaving. */
      readonly members: readonly string[];
      readonly leaving: readonly string[];
    }
  /** The failure detector reports the state of a peer. */
  | {
      readonly kind: OrderEventKind.PEER;
      readonly host: string;
      readonly incarnation: string;
      readonly state: PeerState;
    }
  /** A dispatched order has ended with an answer or an error. */
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
  /** The time returned by `wakeAtMs` has been reached. */
  | {readonly kind: OrderEventKind.WAKE}
  /** The host shuts down gracefully: it no longer issues claims or votes. */
  | {readonly kind: OrderEventKind.CLOSE};
