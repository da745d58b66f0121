import {ErrorKind, Failure} from '@parsleywood/errors';
import type {Delivery, OrderOutcome} from '@parsleywood/schema/peer';
import type {TimelinePage, TimelineQuery} from '@parsleywood/schema/timeline';
import type {HostTimeline} from '../host/host_timeline.js';
import type {PeerListener} from '../peers/peer_listener.js';
import type {FleetLink} from './fleet_membership.js';

/** Answers peers' calls at a gateway. */
export class FleetCalls implements PeerListener {
  constructor(
    private readonly fleet: FleetLink,
    private readonly timeline: HostTimeline,
    private readonly describe: () => object,
    private readonly startDrain: () => void,
  ) {}

  takeDelivery(delivery: Delivery): void {
    this.timeline.observe(delivery.hybridTime);
    this.fleet.takeDelivery(delivery);
  }

  /** Orders by key are not forwarded between gateways. */
  runOrder(): Promise<OrderOutcome> {
    const message = 'a gateway takes no forwarded orders';
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
