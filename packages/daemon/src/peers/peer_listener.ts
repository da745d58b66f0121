import type {Delivery, OrderCall, OrderOutcome} from '@parsleywood/schema/peer';
import type {TimelinePage, TimelineQuery} from '@parsleywood/schema/timeline';

/** Answers the calls of peers. */
export interface PeerListener {
  /** Takes one-way messages of a peer. */
  takeDelivery(delivery: Delivery): void;
  runOrder(call: OrderCall): Promise<OrderOutcome>;
  /** Status of this host as JSON. */
  readStatus(): string;
  readTimeline(query: TimelineQuery): TimelinePage;
  drain(): void;
}
