import {ErrorKind, ExecutionStatus} from '@parsleywood/errors';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {Call} from './call.js';
import type {Calls} from './calls.js';
import type {OrderBounds} from './order_bounds.js';
import {ORDER_FAILURES} from './order_failures.js';
import type {Peers} from './peers.js';
import type {View} from './view.js';

/** Number of hosts that a call is forwarded to before this host claims it. */
const FORWARDS_MAX = 2;
/** Fraction of a call's remaining time after which the next host is tried. */
const FORWARD_TIME_FRACTION = 1 / 3;
const ISSUER_RETRY_MS = 50;

/** Forwards calls to the hosts that should claim their orders. */
export class Router {
  /** @param claimLocally Makes a call wait for this host's own claim. */
  constructor(
    private readonly self: string,
    private readonly bounds: OrderBounds,
    private readonly peers: Peers,
    private readonly calls: Calls,
    private readonly claimLocally: (call: Call, nowMs: number) => void,
  ) {}

  /**
   * Routes a call to the members that rank highest for its order. This host
   * claims the order itself at its own rank or when the others do not answer.
   *
   * @param isClosing Whether this host issues no more claims.
   */
  startRouting(
    call: Call,
    view: View,
    isClosing: boolean,
    nowMs: number,
  ): void {
    const reachable = view
      .rankMembers(call.orderId)
      .filter(host => host === this.self || this.peers.isReachable(host));
    const selfIndex = reachable.indexOf(this.self);
    const others = reachable.filter(host => host !== this.self);
    const hostsBeforeSelf =
      selfIndex < 0 || isClosing ? others : reachable.slice(0, selfIndex);
    call.route = hostsBeforeSelf.slice(0, FORWARDS_MAX);
    this.tryNextHost(call, nowMs);
  }

  wake(nowMs: number): void {
    for (const call of this.calls.listDue(nowMs)) this.tryNextHost(call, nowMs);
  }

  handleForwardFailure(callId: string, to: string, nowMs: number): void {
    const call = this.calls.find(callId);
    if (!call?.pending.delete(to) || call.awaitsClaim) return;
    if (call.claimLost) this.retryIssuer(call, to, nowMs);
    else if (call.latest === to) this.tryNextHost(call, nowMs);
  }

  handleForwardedOutcome(
    callId: string,
    from: string,
    outcome: OrderOutcome,
    nowMs: number,
  ): void {
    const call = this.calls.find(callId);
    if (!call?.pending.has(from)) return;
    if (outcome.failureKind === ErrorKind.HOST_UNAVAILABLE) {
      this.handleForwardFailure(callId, from, nowMs);
      return;
    }
    call.pending.delete(from);
    const isPending = call.awaitsClaim || call.pending.size > 0;
    if (!isPending || isConclusive(outcome)) this.calls.answer(call, outcome);
  }

  /** Treats all forwards to a dead peer as failed. */
  failForwardsTo(host: string, nowMs: number): void {
    for (const call of this.calls.listPendingAt(host)) {
      this.handleForwardFailure(call.submit.call, host, nowMs);
    }
  }

  /** Forwards a call to the next host of its route, or claims it here. */
  private tryNextHost(call: Call, nowMs: number): void {
    call.nextHostAtMs = Infinity;
    const next = call.route.shift();
    if (next === undefined) {
      this.claimLocally(call, nowMs);
      return;
    }
    const remainingMs = call.submit.deadlineMs - nowMs;
    const waitMs = Math.min(
      this.bounds.claimTimeoutMs,
      remainingMs * FORWARD_TIME_FRACTION,
    );
    const nextAtMs = call.claimLost ? Infinity : nowMs + waitMs;
    this.calls.forward(call, next, nextAtMs);
  }

  /** Retries the issuer that may have won, unless it is dead. */
  private retryIssuer(call: Call, to: string, nowMs: number): void {
    if (call.pending.size > 0) return;
    if (call.issuerRetriesLeft === 0 || this.peers.isDead(to)) {
      this.calls.fail(call, ORDER_FAILURES.makeUnknown());
      return;
    }
    call.issuerRetriesLeft--;
    call.route = [to];
    call.nextHostAtMs = nowMs + ISSUER_RETRY_MS;
  }
}

/** Whether the outcome says if the order ran; other attempts add nothing. */
function isConclusive(outcome: OrderOutcome): boolean {
  return (
    outcome.failureKind === '' ||
    outcome.failureKind === ErrorKind.ORDER_VOID ||
    outcome.ran !== ExecutionStatus.UNKNOWN
  );
}
