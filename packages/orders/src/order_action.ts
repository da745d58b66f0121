import type {Failure} from '@parsleywood/errors';
import type {OrderMessage} from '@parsleywood/schema/orders';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {OrderActionKind} from './order_action_kind.js';

/** An action that `Orders` requests from its adapter. */
export type OrderAction =
  /** Sends a message to a peer; delivery is not guaranteed. */
  | {
      readonly kind: OrderActionKind.SEND;
      readonly to: string;
      readonly message: OrderMessage;
    }
  /** Forwards a call to a peer with a RunOrder request. */
  | {
      readonly kind: OrderActionKind.FORWARD;
      readonly call: string;
      readonly to: string;
    }
  /** Sends the order to its upstream; requested at most once per order. */
  | {
      readonly kind: OrderActionKind.DISPATCH;
      readonly call: string;
      readonly account: string;
      readonly key: string;
      /** Fencing token: number of the granting view; newer views have higher ones. */
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
