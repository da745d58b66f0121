import {ErrorKind, ExecutionStatus} from '@parsleywood/errors';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {Call} from './call.js';
import type {Calls} from './calls.js';
import type {OrderBounds} from './order_bounds.js';
import {ORDER_FAILURES} from './order_failures.js';
import type {Peers} from './peers.js';
import type {View} from './view.js';

/** Hosts that a call is forwarded to before its entry host claims. */
const FORWARDS_MAX = 2;
/** Part of a call's remaining time after which the next host is tried. */
const FORWARD_SHARE = 1 / 3;
const FOLLOW_RETRY_MS = 50;

/** Takes calls to the hosts that may answer them. */
export class Router {
  /** @param claim Lets this host's own claim answer a call. */
  constructor(
    private readonly self: string,
    private readonly bounds: OrderBounds,
    private readonly peers: Peers,
    private readonly calls: Calls,
    private readonly claim: (call: Call, nowMs: number) => void,
  ) {}

  /**
   * Sends a call to its key's owner, the next in order, then this host.
   *
   * @param closing Whether this host makes no more claims.
   */
  start(call: Call, view: View, closing: boolean, nowMs: number): void {
    const reachable = view
      .rankMembers(call.order)
      .filter(host => host === this.self || this.peers.isReachable(host));
    const self = reachable.indexOf(this.self);
    const others = reachable.filter(host => host !== this.self);
    const before = self < 0 || closing ? others : reachable.slice(0, self);
    call.route = before.slice(0, FORWARDS_MAX);
    this.advance(call, nowMs);
  }

  wake(nowMs: number): void {
    for (const call of this.calls.listDue(nowMs)) this.advance(call, nowMs);
  }

  takeFailure(name: string, to: string, nowMs: number): void {
    const call = this.calls.find(name);
    if (!call?.pending.delete(to) || call.awaitsClaim) return;
    if (call.lost) this.followAgain(call, to, nowMs);
    else if (call.latest === to) this.advance(call, nowMs);
  }

  takeOutcome(
    name: string,
    from: string,
    outcome: OrderOutcome,
    nowMs: number,
  ): void {
    const call = this.calls.find(name);
    if (!call?.pending.has(from)) return;
    if (outcome.failureKind === ErrorKind.HOST_UNAVAILABLE) {
      this.takeFailure(name, from, nowMs);
      return;
    }
    call.pending.delete(from);
    const otherWays = call.awaitsClaim || call.pending.size > 0;
    if (!otherWays || isConclusive(outcome)) this.calls.answer(call, outcome);
  }

  /** Gives up what was forwarded to a dead peer. */
  leavePeer(host: string, nowMs: number): void {
    for (const call of this.calls.listPending(host)) {
      this.takeFailure(call.submit.call, host, nowMs);
    }
  }

  /** Tries the next host of a call's route, at last this one. */
  private advance(call: Call, nowMs: number): void {
    call.nextAtMs = Infinity;
    const next = call.route.shift();
    if (next === undefined) {
      this.claim(call, nowMs);
      return;
    }
    const remainingMs = call.submit.deadlineMs - nowMs;
    const waitMs = Math.min(
      this.bounds.claimTimeoutMs,
      remainingMs * FORWARD_SHARE,
    );
    const nextAtMs = call.lost ? Infinity : nowMs + waitMs;
    this.calls.forward(call, next, nextAtMs);
  }

  /** Asks the issuer that may have won once more, as long as it may live. */
  private followAgain(call: Call, to: string, nowMs: number): void {
    if (call.pending.size > 0) return;
    if (call.followsLeft === 0 || this.peers.isDead(to)) {
      this.calls.fail(call, ORDER_FAILURES.makeUnknown());
      return;
    }
    call.followsLeft--;
    call.route = [to];
    call.nextAtMs = nowMs + FOLLOW_RETRY_MS;
  }
}

function isConclusive(outcome: OrderOutcome): boolean {
  return (
    outcome.failureKind === '' ||
    outcome.failureKind === ErrorKind.ORDER_VOID ||
    outcome.ran !== ExecutionStatus.UNKNOWN
  );
}
