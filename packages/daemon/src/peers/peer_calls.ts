import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {Result} from 'true-myth';
import {formatOutcome} from './format_outcome.js';
import type {Delivery, OrderCall, OrderOutcome} from '@parsleywood/schema/peer';
import type {TimelinePage, TimelineQuery} from '@parsleywood/schema/timeline';
import {countPeerMessages} from './count_peer_messages.js';
import type {ControlPlane} from '../control/control_plane.js';
import type {HostStatusReader} from '../operators/host_status_reader.js';
import type {OrderDesk} from '../control/order_desk.js';
import type {PeerListener} from './peer_listener.js';
import type {Serving} from '../host/serving.js';
import {TrafficDirection} from '../host/traffic_direction.js';

const RETRY_AFTER_MS = 500;

/** Answers peers' calls at this host. */
export class PeerCalls implements PeerListener {
  private forwarded = 0;

  constructor(
    private readonly serving: Serving,
    private readonly control: ControlPlane,
    private readonly orders: OrderDesk,
    private readonly status: HostStatusReader,
    private readonly isStarting: () => boolean,
    private readonly startDrain: () => void,
  ) {}

  takeDelivery(delivery: Delivery): void {
    const {metrics, timeline} = this.serving;
    countPeerMessages(metrics, TrafficDirection.RECEIVED, delivery.messages);
    timeline.observe(delivery.hybridTime);
    this.control.takeMessages(
      {host: delivery.from, id: delivery.fromIncarnation},
      delivery.messages,
    );
  }

  async runOrder(call: OrderCall): Promise<OrderOutcome> {
    const {serving} = this;
    serving.timeline.observe(call.hybridTime);
    if (this.isStarting()) return formatOutcome(Result.err(refuseEarly()));
    const outcome = await this.orders.run(
      {
        // One caller's request may come by several ways; each is a call.
        requestId: `${call.requestId}/${serving.host}.${this.forwarded++}`,
        account: call.account,
        service: call.service,
        method: call.method,
        target: call.path,
        contentType: call.contentType,
        idempotencyKey: call.idempotencyKey,
        repeatable: false,
        body: Buffer.from(call.body),
        deadlineMs: serving.clock.nowMs() + call.limitMs,
      },
      true,
    );
    return {...outcome, hybridTime: serving.timeline.stamp()};
  }

  readStatus(): string {
    return JSON.stringify(this.status.read());
  }

  readTimeline(query: TimelineQuery): TimelinePage {
    return this.serving.timeline.read(query);
  }

  drain(): void {
    this.startDrain();
  }
}

function refuseEarly(): Failure {
  return new Failure(
    ErrorKind.HOST_UNAVAILABLE,
    'this host is starting',
    ExecutionStatus.NO,
    RETRY_AFTER_MS,
  );
}
