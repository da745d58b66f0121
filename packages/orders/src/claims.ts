import {ExecutionStatus, type Failure} from '@parsleywood/errors';
import type {OrderClaim, OrderVote} from '@parsleywood/schema/orders';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {Incarnation} from '@parsleywood/types';
import type {Call} from './call.js';
import type {Calls} from './calls.js';
import {Claim} from './claim.js';
import {ClaimState} from './claim_state.js';
import type {CrashVector} from './crash_vector.js';
import {nameIssuer} from './name_issuer.js';
import {nameOrder} from './name_order.js';
import {OrderActionKind} from './order_action_kind.js';
import type {OrderBounds} from './order_bounds.js';
import {ORDER_FAILURES} from './order_failures.js';
import type {Outbox} from './outbox.js';
import {Outcomes} from './outcomes.js';
import type {Peers} from './peers.js';
import {Safeguard} from './safeguard.js';
import {Tally} from './tally.js';
import type {View} from './view.js';
import type {Witness} from './witness.js';

const RESEND_MS = 100;
const OUTCOMES_MAX_BYTES = 64 * 1024 * 1024;

/** The claims that this host has issued; each is dispatched at most once. */
export class Claims {
  private readonly claims = new Map<string, Claim>();
  private readonly collecting = new Set<Claim>();
  private readonly outcomes = new Outcomes(OUTCOMES_MAX_BYTES);
  private readonly issuer: string;
  private lastNumber = 0;

  constructor(
    private readonly self: Incarnation,
    private readonly witness: Witness,
    private readonly crashVector: CrashVector,
    private readonly bounds: OrderBounds,
    private readonly peers: Peers,
    private readonly calls: Calls,
    private readonly outbox: Outbox,
    private readonly capacity: number,
    private readonly disabled: ReadonlySet<Safeguard>,
  ) {
    this.issuer = nameIssuer({host: self.host, incarnation: self.id});
  }

  has(order: string): boolean {
    return this.claims.has(order);
  }

  /** Lets a call wait for this host's claim, which is made if need be. */
  submit(call: Call, view: View, nowMs: number, wallMs: number): void {
    const known = this.claims.get(call.order);
    if (!known && this.claims.size >= this.capacity) {
      this.calls.fail(
        call,
        ORDER_FAILURES.makeUndecided(ExecutionStatus.UNKNOWN),
      );
      return;
    }
    const claim = known ?? this.open(call, view, wallMs);
    if (known) call.mayFollow &&= !call.submit.forwarded;
    if (claim.fingerprint !== call.submit.fingerprint) {
      this.calls.fail(call, ORDER_FAILURES.makeReused());
      return;
    }
    this.join(claim, call);
    if (claim.state !== ClaimState.COLLECTING) return;
    claim.giveUpAtMs = nowMs + this.bounds.claimTimeoutMs;
    this.collecting.add(claim);
    if (claim.tally.view !== view) claim.tally = this.makeTally(view);
    this.send(claim, nowMs, wallMs);
    this.settle(claim, nowMs);
  }

  takeVote(
    from: string,
    incarnation: string,
    vote: OrderVote,
    nowMs: number,
  ): void {
    if (!vote.issuer || nameIssuer(vote.issuer) !== this.issuer) return;
    const claim = this.claims.get(nameOrder(vote.account, vote.key));
    if (claim?.number !== vote.number) return;
    claim.tally.take(from, incarnation, vote);
    this.settle(claim, nowMs);
  }

  /** Makes the claims under way anew in a newer view. */
  enterView(view: View, nowMs: number, wallMs: number): void {
    for (const claim of [...this.collecting]) {
      claim.tally = this.makeTally(view);
      this.send(claim, nowMs, wallMs);
      this.settle(claim, nowMs);
    }
  }

  finish(order: string, outcome: OrderOutcome): void {
    const claim = this.claims.get(order);
    if (claim?.state !== ClaimState.DISPATCHED) return;
    claim.state = ClaimState.FINISHED;
    this.outcomes.keep(order, outcome);
    for (const call of claim.calls.values()) this.calls.answer(call, outcome);
    claim.calls.clear();
  }

  /** Judges every claim under way by what is known now. */
  settleAll(nowMs: number): void {
    for (const claim of [...this.collecting]) this.settle(claim, nowMs);
  }

  wake(nowMs: number, wallMs: number): void {
    for (const claim of [...this.collecting]) {
      if (claim.resendAtMs <= nowMs) this.send(claim, nowMs, wallMs);
      this.settle(claim, nowMs);
    }
  }

  wakeAtMs(): number {
    let wakeAtMs = Infinity;
    for (const claim of this.collecting) {
      wakeAtMs = Math.min(wakeAtMs, claim.resendAtMs, claim.giveUpAtMs);
    }
    return wakeAtMs;
  }

  expire(wallMs: number): void {
    for (const [order, claim] of this.claims) {
      if (claim.keepUntilMs >= wallMs || claim.calls.size > 0) return;
      this.claims.delete(order);
      this.outcomes.drop(order);
    }
  }

  private open(call: Call, view: View, wallMs: number): Claim {
    const {account, key, fingerprint} = call.submit;
    const claim = new Claim(
      call.order,
      account,
      key,
      fingerprint,
      ++this.lastNumber,
      this.bounds.keepClaimUntil(wallMs),
      this.makeTally(view),
    );
    this.claims.set(call.order, claim);
    return claim;
  }

  private makeTally(view: View): Tally {
    return new Tally(view, this.issuer, this.crashVector, this.disabled);
  }

  private join(claim: Claim, call: Call): void {
    switch (claim.state) {
      case ClaimState.FINISHED: {
        const outcome = this.outcomes.find(claim.order);
        if (outcome) this.calls.answer(call, outcome);
        else
          this.calls.fail(
            call,
            ORDER_FAILURES.makeUnknown(ExecutionStatus.YES),
          );
        return;
      }
      case ClaimState.ABANDONED:
        this.calls.fail(call, ORDER_FAILURES.makeVoid());
        return;
      default:
        call.awaitsClaim = true;
        claim.calls.set(call.submit.call, call);
    }
  }

  private send(claim: Claim, nowMs: number, wallMs: number): void {
    const message: OrderClaim = {
      account: claim.account,
      key: claim.key,
      issuer: {host: this.self.host, incarnation: this.self.id},
      number: claim.number,
      view: claim.tally.view.number,
      fingerprint: claim.fingerprint,
      sentAtMs: wallMs,
    };
    claim.resendAtMs = nowMs + RESEND_MS;
    for (const host of claim.tally.listOpen()) {
      if (host === this.self.host) {
        const vote = this.witness.vote(message, wallMs);
        if (vote) claim.tally.take(host, this.self.id, vote);
      } else if (!this.peers.isDead(host)) {
        this.outbox.send(host, {$case: 'claim', value: message});
      }
    }
  }

  private settle(claim: Claim, nowMs: number): void {
    for (const [name, call] of claim.calls) {
      if (!this.calls.isOpen(call)) claim.calls.delete(name);
    }
    if (!claim.isCollecting()) {
      this.collecting.delete(claim);
      return;
    }
    if (claim.tally.isWon()) this.dispatch(claim);
    else if (!claim.tally.canWin()) this.settleLost(claim, nowMs);
    else if (nowMs >= claim.giveUpAtMs) this.settleUndecided(claim);
  }

  private dispatch(claim: Claim): void {
    const [call] = claim.calls.keys();
    if (call === undefined) return;
    claim.state = ClaimState.DISPATCHED;
    this.collecting.delete(claim);
    this.outbox.push({
      kind: OrderActionKind.DISPATCH,
      call,
      account: claim.account,
      key: claim.key,
      fencing: claim.tally.view.number,
    });
  }

  private settleUndecided(claim: Claim): void {
    const never = claim.tally.excludesOthers();
    if (never) this.abandon(claim);
    const ran = never ? ExecutionStatus.NO : ExecutionStatus.UNKNOWN;
    this.failAll(claim, ORDER_FAILURES.makeUndecided(ran));
  }

  private settleLost(claim: Claim, nowMs: number): void {
    const {tally} = claim;
    if (tally.excludesOthers()) {
      this.abandon(claim);
      this.failAll(claim, ORDER_FAILURES.makeVoid());
      return;
    }
    if (tally.isReused(claim.fingerprint)) {
      this.failAll(claim, ORDER_FAILURES.makeReused());
      return;
    }
    const rival = tally.findRival();
    if (rival && this.peers.mayAnswer(rival)) {
      for (const call of [...claim.calls.values()]) {
        this.follow(claim, call, rival.host);
      }
      this.collecting.delete(claim);
      return;
    }
    const open = tally.listOpen().some(host => this.peers.isReachable(host));
    if (open && nowMs < claim.giveUpAtMs) return;
    if (rival) this.failAll(claim, ORDER_FAILURES.makeUnknown());
    else if (tally.isExpired()) {
      this.failAll(claim, ORDER_FAILURES.makeExpired());
    } else
      this.failAll(
        claim,
        ORDER_FAILURES.makeUndecided(ExecutionStatus.UNKNOWN),
      );
  }

  /** Sends a call on to the issuer that may have won. */
  private follow(claim: Claim, call: Call, host: string): void {
    claim.calls.delete(call.submit.call);
    call.awaitsClaim = false;
    call.lost = true;
    if (call.pending.has(host)) return;
    if (!call.mayFollow) {
      this.calls.fail(call, ORDER_FAILURES.makeUnknown());
      return;
    }
    this.calls.forward(call, host, Infinity);
  }

  private abandon(claim: Claim): void {
    this.collecting.delete(claim);
    if (this.disabled.has(Safeguard.ABANDONMENT)) return;
    claim.state = ClaimState.ABANDONED;
  }

  private failAll(claim: Claim, failure: Failure): void {
    this.collecting.delete(claim);
    for (const call of claim.calls.values()) this.calls.fail(call, failure);
    claim.calls.clear();
  }
}
