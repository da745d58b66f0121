import {ErrorKind, Failure} from '@parsleywood/errors';
import type {Delivery, OrderOutcome} from '@parsleywood/schema/peer';
import type {TimelinePage, TimelineQuery} from '@parsleywood/schema/timeline';
import type {HostTimeline} from '../../host/host_timeline.js';
import type {PeerListener} from '../../peers/peer_listener.js';
import type {FleetMembership} from './fleet_membership.js';

/** Handles the calls of peers to a gateway. */
export class PeerCallHandler implements PeerListener {
  constructor(
    private readonly fleet: FleetMembership,
    private readonly timeline: HostTimeline,
    private readonly describe: () => object,
    private readonly startDrain: () => void,
  ) {}

  takeDelivery(delivery: Delivery): void {
    this.timeline.observe(delivery.hybridTime);
    this.fleet.handleDelivery(delivery);
  }

  /** Gateways do not forward orders with an idempotency key to each other. */
  runOrder(): Promise<OrderOutcome> {
    const message = 'gateways do not accept forwarded orders';
    return Promise.reject(new Failure(ErrorKind.UNKNOWN_CALL, message));
  }

  readStatus(): string {
    return JSON.stringify(this.describe());
  }

  readTimeline(query: TimelineQuery): TimelinePage {
    return this.timeline.read(query);
  }

  drain(): void {
    this.startDrain();
  }
}
