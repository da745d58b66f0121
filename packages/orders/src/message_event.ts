import type {OrderMessage} from '@parsleywood/schema/orders';
import type {OrderEventKind} from './order_event_kind.js';

/** A message from the `Orders` instance of a peer has arrived. */
export interface MessageEvent {
  readonly kind: OrderEventKind.MESSAGE;
  readonly from: string;
  /** Incarnation id of the sender. */
  readonly incarnation: string;
  readonly message: OrderMessage;
  /** Wall-clock time, in milliseconds since the epoch. */
  readonly wallMs: number;
}
