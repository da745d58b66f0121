import type {Failure} from '@parsleywood/errors';
import type {OrderMessage} from '@parsleywood/schema/orders';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {OrderActionKind} from './order_action_kind.js';

/** An action that the order decision asks for. */
export type OrderAction =
  /** Delivers a message to a peer; it may be lost. */
  | {
      readonly kind: OrderActionKind.SEND;
      readonly to: string;
      readonly message: OrderMessage;
    }
  /** Forwards a call to a peer (RunOrder). */
  | {
      readonly kind: OrderActionKind.FORWARD;
      readonly call: string;
      readonly to: string;
    }
  /** Sends the order of a call to its upstream, once. */
  | {
      readonly kind: OrderActionKind.DISPATCH;
      readonly call: string;
      readonly account: string;
      readonly key: string;
      /** Number of the view; never lower for an order dispatched in a newer one. */
      readonly fencing: number;
    }
  /** Answers a call with the order's outcome. */
  | {
      readonly kind: OrderActionKind.ANSWER;
      readonly call: string;
      readonly outcome: OrderOutcome;
    }
  /** Answers a call with a failure. */
  | {
      readonly kind: OrderActionKind.FAIL;
      readonly call: string;
      readonly failure: Failure;
    };
