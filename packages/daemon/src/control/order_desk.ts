import {createHash} from 'node:crypto';
import {ErrorKind, Failure, ExecutionStatus} from '@parsleywood/errors';
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
import {encodeOutcome} from '../peers/encode_outcome.js';
import type {PeerTransport} from '../peers/peer_transport.js';
import type {ServiceAnswer} from '../upstreams/service_answer.js';
import type {ServiceCall} from '../callers/service_call.js';
import type {Serving} from '../host/serving.js';

/** A call that waits for the outcome of its order. */
interface PendingCall {
  readonly call: ServiceCall;
  readonly resolve: (outcome: OrderOutcome) => void;
}

/**
 * Runs orders as the order decision directs: at this host, or at the host that
 * owns the idempotency key.
 */
export class OrderDesk {
  private readonly runner: DecisionRunner<OrderEvent, OrderAction>;
  private readonly pendingCalls = new Map<string, PendingCall>();
  private readonly dispatchedOrders = new Set<string>();

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

  /** Stops issuing orders and voting on them, for a graceful shutdown. */
  close(): void {
    this.runner.dispatch({kind: OrderEventKind.CLOSE});
  }

  /** Whether this host votes on orders. */
  mayVote(): boolean {
    return this.orders.mayVote();
  }

  /** Returns the number of orders sent to a service that has not answered. */
  unanswered(): number {
    return this.dispatchedOrders.size;
  }

  /** Returns the number of caller and peer calls that wait for their outcome. */
  openCalls(): number {
    return this.pendingCalls.size;
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

  handleMessage(from: Incarnation, message: OrderMessage): void {
    this.runner.dispatch({
      kind: OrderEventKind.MESSAGE,
      from: from.host,
      incarnation: from.id,
      message,
      wallMs: this.serving.clock.wallMs(),
    });
  }

  /**
   * Runs an order of a caller or of a peer. The promise never rejects: failures
   * are part of the outcome.
   */
  async run(call: ServiceCall, forwarded: boolean): Promise<OrderOutcome> {
    return new Promise(resolve => {
      this.pendingCalls.set(call.requestId, {call, resolve});
      this.runner.dispatch({
        kind: OrderEventKind.SUBMIT,
        call: call.requestId,
        account: call.account,
        key: call.idempotencyKey,
        fingerprint: computeFingerprint(call),
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
        this.recordEvent(TimelineEventName.REQUEST_FORWARDED, action.call, {
          peer: action.to,
        });
        void this.forwardCall(action.call, action.to);
        break;
      case OrderActionKind.DISPATCH:
        void this.dispatchOrder(action);
        break;
      case OrderActionKind.ANSWER:
        this.completeCall(action.call, action.outcome);
        break;
      case OrderActionKind.FAIL:
        this.completeCall(
          action.call,
          encodeOutcome(Result.err(action.failure)),
        );
        break;
    }
  }

  private async forwardCall(callId: string, to: string): Promise<void> {
    const pending = this.pendingCalls.get(callId);
    if (pending === undefined) return;
    const {call} = pending;
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

  private async dispatchOrder(
    action: Extract<OrderAction, {kind: OrderActionKind.DISPATCH}>,
  ): Promise<void> {
    const {account, key} = action;
    const pending = this.pendingCalls.get(action.call);
    const orderName = `${account}\n${key}`;
    this.recordEvent(TimelineEventName.ORDER_DISPATCHED, action.call, {
      account,
    });
    this.dispatchedOrders.add(orderName);
    const result = await this.sendToUpstream(pending?.call, action.fencing);
    this.dispatchedOrders.delete(orderName);
    const outcome = encodeOutcome(result.mapErr(addRetryAdvice));
    this.serving.metrics.orders.inc({outcome: outcome.failureKind || 'ok'});
    this.runner.dispatch({kind: OrderEventKind.OUTCOME, account, key, outcome});
  }

  private async sendToUpstream(
    call: ServiceCall | undefined,
    fencing: number,
  ): Promise<Result<ServiceAnswer, Failure>> {
    const {serving} = this;
    if (call === undefined) {
      return Result.err(
        new Failure(
          ErrorKind.INTERNAL,
          'the call that submitted the order is no longer open',
        ),
      );
    }
    const triedUpstreams: string[] = [];
    for (;;) {
      const limitMs = call.deadlineMs - serving.clock.nowMs();
      if (limitMs <= 0) return this.failTimeLimit();
      const upstream = serving.chooseService(call.service, triedUpstreams);
      if (upstream === undefined) {
        return serving.refuseUnavailable(call.service);
      }
      triedUpstreams.push(upstream.name);
      const result = await serving.sendToService(
        call,
        upstream,
        limitMs,
        fencing,
      );
      // Another upstream may be tried only if this one certainly did not run
      // the order, for a reason of its own.
      if (result.isOk || result.error.ran !== ExecutionStatus.NO) return result;
      if (result.error.kind === ErrorKind.REQUEST_CRASHES_UPSTREAM) {
        return result;
      }
    }
  }

  private failTimeLimit(): Result<never, Failure> {
    return Result.err(
      new Failure(
        ErrorKind.TIME_LIMIT,
        'the time limit expired before the order was sent to an upstream',
        ExecutionStatus.NO,
      ),
    );
  }

  private recordEvent(
    name: TimelineEventName,
    callId: string,
    fields: TimelineFields,
  ): void {
    // The id of a forwarded call starts with the id of its request.
    const requestId = callId.split('/')[0] ?? callId;
    this.serving.timeline.record(name, requestId, fields);
  }

  private completeCall(callId: string, outcome: OrderOutcome): void {
    this.recordEvent(TimelineEventName.ORDER_ANSWERED, callId, {
      status: outcome.status,
      ran: outcome.ran,
      errorKind: outcome.failureKind,
    });
    const pending = this.pendingCalls.get(callId);
    this.pendingCalls.delete(callId);
    pending?.resolve(outcome);
  }
}

function computeFingerprint(call: ServiceCall): string {
  return createHash('sha256')
    .update(`${call.service}\n${call.method}\n${call.target}\n`)
    .update(call.body)
    .digest('hex');
}

/**
 * Adds advice on retries to a failure. The outcome is stored under the
 * idempotency key, so a retry with the same key gets the same outcome.
 */
function addRetryAdvice({kind, message, ran, retryAfterMs}: Failure): Failure {
  if (ran === ExecutionStatus.NO) {
    const advisedMessage = `${message}; the order did not run: retry with a new idempotency key`;
    return new Failure(kind, advisedMessage, ran, retryAfterMs);
  }
  return new Failure(kind, `${message}; the order may have run`, ran);
}
