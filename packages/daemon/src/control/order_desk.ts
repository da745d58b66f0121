import {createHash} from 'node:crypto';
import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {
  OrderActionKind,
  OrderEventKind,
  Orders,
  PeerState,
  type OrderAction,
  type OrderEvent,
} from '@parsleywood/orders';
import type {HostList} from '@parsleywood/schema/host_list';
import type {OrderMessage} from '@parsleywood/schema/orders';
import type {OrderCall, OrderOutcome} from '@parsleywood/schema/peer';
import type {OrderSettings} from '@parsleywood/schema/settings';
import {TimelineEventName, type TimelineFields} from '@parsleywood/timeline';
import type {Incarnation} from '@parsleywood/types';
import {Result} from 'true-myth';
import {DecisionRunner} from '../host/decision_runner.js';
import {formatOutcome} from '../peers/format_outcome.js';
import type {PeerTransport} from '../peers/peer_transport.js';
import type {ServiceAnswer} from '../upstreams/service_answer.js';
import type {ServiceCall} from '../callers/service_call.js';
import type {Serving} from '../host/serving.js';

/** A call that waits for its order's outcome. */
interface OpenCall {
  readonly call: ServiceCall;
  readonly answer: (outcome: OrderOutcome) => void;
}

/** Runs orders by the order decision, here or at the host that owns the key. */
export class OrderDesk {
  private readonly runner: DecisionRunner<OrderEvent, OrderAction>;
  private readonly open = new Map<string, OpenCall>();
  private readonly dispatched = new Set<string>();

  constructor(
    private readonly serving: Serving,
    private readonly transport: PeerTransport,
    private readonly orders: Orders,
  ) {
    this.runner = new DecisionRunner(
      orders,
      serving.clock,
      {kind: OrderEventKind.WAKE},
      action => {
        this.apply(action);
      },
    );
  }

  start(): void {
    this.runner.dispatch({kind: OrderEventKind.WAKE});
  }

  stop(): void {
    this.runner.stop();
  }

  /** Stops issuing and voting. */
  close(): void {
    this.runner.dispatch({kind: OrderEventKind.CLOSE});
  }

  /** Whether this host votes on orders. */
  mayVote(): boolean {
    return this.orders.mayVote();
  }

  /** Orders sent to their service whose answer is not here. */
  unanswered(): number {
    return this.dispatched.size;
  }

  /** Calls of callers and peers that wait for their outcome. */
  openCalls(): number {
    return this.open.size;
  }

  applySettings(settings: OrderSettings): void {
    this.runner.dispatch({
      kind: OrderEventKind.SETTINGS,
      orders: settings,
    });
  }

  setHosts(list: HostList, revision: number): void {
    const leaving = list.hosts.filter(host => host.state === 'leaving');
    this.runner.dispatch({
      kind: OrderEventKind.VIEW,
      number: revision,
      members: list.hosts.map(host => host.name),
      leaving: leaving.map(host => host.name),
    });
  }

  setPeer(peer: Incarnation, state: PeerState): void {
    this.runner.dispatch({
      kind: OrderEventKind.PEER,
      host: peer.host,
      incarnation: peer.id,
      state,
    });
  }

  takeMessage(from: Incarnation, message: OrderMessage): void {
    this.runner.dispatch({
      kind: OrderEventKind.MESSAGE,
      from: from.host,
      incarnation: from.id,
      message,
      wallMs: this.serving.clock.wallMs(),
    });
  }

  /** Runs an order of a caller or of a peer; never rejects. */
  async run(call: ServiceCall, forwarded: boolean): Promise<OrderOutcome> {
    return new Promise(resolve => {
      this.open.set(call.requestId, {call, answer: resolve});
      this.runner.dispatch({
        kind: OrderEventKind.SUBMIT,
        call: call.requestId,
        account: call.account,
        key: call.idempotencyKey,
        fingerprint: fingerprint(call),
        deadlineMs: call.deadlineMs,
        wallMs: this.serving.clock.wallMs(),
        forwarded,
      });
    });
  }

  private apply(action: OrderAction): void {
    switch (action.kind) {
      case OrderActionKind.SEND:
        this.transport.send(action.to, {
          body: {$case: 'order', value: action.message},
        });
        break;
      case OrderActionKind.FORWARD:
        this.record(TimelineEventName.REQUEST_FORWARDED, action.call, {
          peer: action.to,
        });
        void this.forward(action.call, action.to);
        break;
      case OrderActionKind.DISPATCH:
        void this.dispatch(action);
        break;
      case OrderActionKind.ANSWER:
        this.answer(action.call, action.outcome);
        break;
      case OrderActionKind.FAIL:
        this.answer(action.call, formatOutcome(Result.err(action.failure)));
        break;
    }
  }

  private async forward(callId: string, to: string): Promise<void> {
    const open = this.open.get(callId);
    if (open === undefined) return;
    const {call} = open;
    const limitMs = call.deadlineMs - this.serving.clock.nowMs();
    const message: OrderCall = {
      account: call.account,
      service: call.service,
      method: call.method,
      path: call.target,
      idempotencyKey: call.idempotencyKey,
      body: call.body,
      contentType: call.contentType,
      limitMs: Math.max(1, Math.floor(limitMs)),
      requestId: call.requestId,
    };
    const result = await this.transport.runOrder(to, message);
    if (result.isOk) {
      this.runner.dispatch({
        kind: OrderEventKind.FORWARDED_OUTCOME,
        call: callId,
        from: to,
        outcome: result.value,
      });
    } else {
      const kind = OrderEventKind.FORWARD_FAILED;
      this.runner.dispatch({kind, call: callId, to});
    }
  }

  private async dispatch(
    action: Extract<OrderAction, {kind: OrderActionKind.DISPATCH}>,
  ): Promise<void> {
    const {account, key} = action;
    const open = this.open.get(action.call);
    const name = `${account}\n${key}`;
    this.record(TimelineEventName.ORDER_DISPATCHED, action.call, {account});
    this.dispatched.add(name);
    const result = await this.send(open?.call, action.fencing);
    this.dispatched.delete(name);
    const outcome = formatOutcome(result.mapErr(describeForKey));
    this.serving.metrics.orders.inc({outcome: outcome.failureKind || 'ok'});
    this.runner.dispatch({kind: OrderEventKind.OUTCOME, account, key, outcome});
  }

  private async send(
    call: ServiceCall | undefined,
    fencing: number,
  ): Promise<Result<ServiceAnswer, Failure>> {
    const {serving} = this;
    if (call === undefined) {
      return Result.err(
        new Failure(ErrorKind.INTERNAL, 'the call of the order is gone'),
      );
    }
    const tried: string[] = [];
    for (;;) {
      const limitMs = call.deadlineMs - serving.clock.nowMs();
      if (limitMs <= 0) return this.refuseLate();
      const upstream = serving.chooseService(call.service, tried);
      if (upstream === undefined) {
        return serving.refuseUnavailable(call.service);
      }
      tried.push(upstream.name);
      const result = await serving.sendToService(
        call,
        upstream,
        limitMs,
        fencing,
      );
      // Another upstream may be tried only when nothing was sent to this one.
      if (result.isOk || result.error.ran !== ExecutionStatus.NO) return result;
    }
  }

  private refuseLate(): Result<never, Failure> {
    return Result.err(
      new Failure(
        ErrorKind.TIME_LIMIT,
        'the time limit passed before the order was sent',
        ExecutionStatus.NO,
      ),
    );
  }

  private record(
    name: TimelineEventName,
    callId: string,
    fields: TimelineFields,
  ): void {
    // A forwarded call is named after the request that it serves.
    const requestId = callId.split('/')[0] ?? callId;
    this.serving.timeline.record(name, requestId, fields);
  }

  private answer(callId: string, outcome: OrderOutcome): void {
    this.record(TimelineEventName.ORDER_ANSWERED, callId, {
      status: outcome.status,
      ran: outcome.ran,
      errorKind: outcome.failureKind,
    });
    const open = this.open.get(callId);
    this.open.delete(callId);
    open?.answer(outcome);
  }
}

function fingerprint(call: ServiceCall): string {
  return createHash('sha256')
    .update(`${call.service}\n${call.method}\n${call.target}\n`)
    .update(call.body)
    .digest('hex');
}

/** The outcome stays with the key: only another key can come back. */
function describeForKey({kind, message, ran, retryAfterMs}: Failure): Failure {
  if (ran === ExecutionStatus.NO) {
    const advice = `${message}; it did not run: order again with a new key`;
    return new Failure(kind, advice, ran, retryAfterMs);
  }
  return new Failure(kind, `${message}; the order may have run`, ran);
}
