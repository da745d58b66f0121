import type {Delivery, OrderCall, OrderOutcome} from '@parsleywood/schema/peer';
import type {TimelinePage, TimelineQuery} from '@parsleywood/schema/timeline';

/** Handles the calls that a peer server accepts. */
export interface PeerListener {
  /** Handles one-way messages of a peer. */
  takeDelivery(delivery: Delivery): void;
  runOrder(call: OrderCall): Promise<OrderOutcome>;
  /** Returns the status of this host as JSON. */
  readStatus(): string;
  readTimeline(query: TimelineQuery): TimelinePage;
  drain(): void;
}
