import {ExecutionStatus, type Failure} from '@parsleywood/errors';
import type {OrderClaim, OrderVote} from '@parsleywood/schema/orders';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {Incarnation} from '@parsleywood/types';
import type {Call} from './call.js';
import type {Calls} from './calls.js';
import {Claim} from './claim.js';
import {ClaimState} from './claim_state.js';
import type {CrashVector} from './crash_vector.js';
import {makeIssuerId} from './make_issuer_id.js';
import {makeOrderId} from './make_order_id.js';
import {OrderActionKind} from './order_action_kind.js';
import type {OrderBounds} from './order_bounds.js';
import {ORDER_FAILURES} from './order_failures.js';
import type {Outbox} from './outbox.js';
import {OutcomeCache} from './outcome_cache.js';
import type {Peers} from './peers.js';
import {Safeguard} from './safeguard.js';
import {Tally} from './tally.js';
import type {View} from './view.js';
import type {Witness} from './witness.js';

const RESEND_INTERVAL_MS = 100;
const OUTCOME_CACHE_MAX_BYTES = 64 * 1024 * 1024;

/** The claims that this host has issued. Each is dispatched at most once. */
export class IssuedClaims {
  private readonly claims = new Map<string, Claim>();
  private readonly collectingVotes = new Set<Claim>();
  private readonly outcomeCache = new OutcomeCache(OUTCOME_CACHE_MAX_BYTES);
  private readonly issuerId: string;
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
    this.issuerId = makeIssuerId({host: self.host, incarnation: self.id});
  }

  has(orderId: string): boolean {
    return this.claims.has(orderId);
  }

  /** Makes a call wait for this host's claim, and creates the claim if needed. */
  submit(call: Call, view: View, nowMs: number, wallMs: number): void {
    const known = this.claims.get(call.orderId);
    if (!known && this.claims.size >= this.capacity) {
      this.calls.fail(
        call,
        ORDER_FAILURES.makeUndecided(ExecutionStatus.UNKNOWN),
      );
      return;
    }
    const claim = known ?? this.create(call, view, wallMs);
    if (known) call.mayForwardToIssuer &&= !call.submit.forwarded;
    if (claim.fingerprint !== call.submit.fingerprint) {
      this.calls.fail(call, ORDER_FAILURES.makeReused());
      return;
    }
    this.attachCall(claim, call);
    if (claim.state !== ClaimState.COLLECTING) return;
    claim.giveUpAtMs = nowMs + this.bounds.claimTimeoutMs;
    this.collectingVotes.add(claim);
    if (claim.tally.view !== view) claim.tally = this.makeTally(view);
    this.sendClaim(claim, nowMs, wallMs);
    this.evaluate(claim, nowMs);
  }

  handleVote(
    from: string,
    incarnation: string,
    vote: OrderVote,
    nowMs: number,
  ): void {
    if (!vote.issuer || makeIssuerId(vote.issuer) !== this.issuerId) return;
    const claim = this.claims.get(makeOrderId(vote.account, vote.key));
    if (claim?.number !== vote.number) return;
    claim.tally.add(from, incarnation, vote);
    this.evaluate(claim, nowMs);
  }

  /** Restarts the vote of each undecided claim in a newer view. */
  enterView(view: View, nowMs: number, wallMs: number): void {
    for (const claim of [...this.collectingVotes]) {
      claim.tally = this.makeTally(view);
      this.sendClaim(claim, nowMs, wallMs);
      this.evaluate(claim, nowMs);
    }
  }

  finish(orderId: string, outcome: OrderOutcome): void {
    const claim = this.claims.get(orderId);
    if (claim?.state !== ClaimState.DISPATCHED) return;
    claim.state = ClaimState.FINISHED;
    this.outcomeCache.add(orderId, outcome);
    for (const call of claim.calls.values()) this.calls.answer(call, outcome);
    claim.calls.clear();
  }

  /** Evaluates all undecided claims after a change in what is known of peers. */
  evaluateAll(nowMs: number): void {
    for (const claim of [...this.collectingVotes]) this.evaluate(claim, nowMs);
  }

  wake(nowMs: number, wallMs: number): void {
    for (const claim of [...this.collectingVotes]) {
      if (claim.resendAtMs <= nowMs) this.sendClaim(claim, nowMs, wallMs);
      this.evaluate(claim, nowMs);
    }
  }

  wakeAtMs(): number {
    let wakeAtMs = Infinity;
    for (const claim of this.collectingVotes) {
      wakeAtMs = Math.min(wakeAtMs, claim.resendAtMs, claim.giveUpAtMs);
    }
    return wakeAtMs;
  }

  expire(wallMs: number): void {
    for (const [orderId, claim] of this.claims) {
      if (claim.keepUntilMs >= wallMs || claim.calls.size > 0) return;
      this.claims.delete(orderId);
      this.outcomeCache.remove(orderId);
    }
  }

  private create(call: Call, view: View, wallMs: number): Claim {
    const {account, key, fingerprint} = call.submit;
    const claim = new Claim(
      call.orderId,
      account,
      key,
      fingerprint,
      ++this.lastNumber,
      this.bounds.computeClaimExpiryMs(wallMs),
      this.makeTally(view),
    );
    this.claims.set(call.orderId, claim);
    return claim;
  }

  private makeTally(view: View): Tally {
    return new Tally(view, this.issuerId, this.crashVector, this.disabled);
  }

  private attachCall(claim: Claim, call: Call): void {
    switch (claim.state) {
      case ClaimState.FINISHED: {
        const outcome = this.outcomeCache.find(claim.orderId);
        if (outcome) this.calls.answer(call, outcome);
        else {
          this.calls.fail(
            call,
            ORDER_FAILURES.makeUnknown(ExecutionStatus.YES),
          );
        }
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

  private sendClaim(claim: Claim, nowMs: number, wallMs: number): void {
    const message: OrderClaim = {
      account: claim.account,
      key: claim.key,
      issuer: {host: this.self.host, incarnation: this.self.id},
      number: claim.number,
      view: claim.tally.view.number,
      fingerprint: claim.fingerprint,
      sentAtMs: wallMs,
    };
    claim.resendAtMs = nowMs + RESEND_INTERVAL_MS;
    for (const host of claim.tally.listUndecidedMembers()) {
      if (host === this.self.host) {
        const vote = this.witness.vote(message, wallMs);
        if (vote) claim.tally.add(host, this.self.id, vote);
      } else if (!this.peers.isDead(host)) {
        this.outbox.send(host, {$case: 'claim', value: message});
      }
    }
  }

  private evaluate(claim: Claim, nowMs: number): void {
    for (const [callId, call] of claim.calls) {
      if (!this.calls.isOpen(call)) claim.calls.delete(callId);
    }
    if (!claim.needsVotes()) {
      this.collectingVotes.delete(claim);
      return;
    }
    if (claim.tally.hasQuorum()) this.dispatch(claim);
    else if (!claim.tally.canReachQuorum()) this.resolveLost(claim, nowMs);
    else if (nowMs >= claim.giveUpAtMs) this.failUndecided(claim);
  }

  private dispatch(claim: Claim): void {
    const [call] = claim.calls.keys();
    if (call === undefined) return;
    claim.state = ClaimState.DISPATCHED;
    this.collectingVotes.delete(claim);
    this.outbox.push({
      kind: OrderActionKind.DISPATCH,
      call,
      account: claim.account,
      key: claim.key,
      fencing: claim.tally.view.number,
    });
  }

  private failUndecided(claim: Claim): void {
    const isRuledOut = claim.tally.rulesOutOtherIssuers();
    if (isRuledOut) this.abandon(claim);
    const ran = isRuledOut ? ExecutionStatus.NO : ExecutionStatus.UNKNOWN;
    this.failCalls(claim, ORDER_FAILURES.makeUndecided(ran));
  }

  private resolveLost(claim: Claim, nowMs: number): void {
    const {tally} = claim;
    if (tally.rulesOutOtherIssuers()) {
      this.abandon(claim);
      this.failCalls(claim, ORDER_FAILURES.makeVoid());
      return;
    }
    if (tally.isKeyReused(claim.fingerprint)) {
      this.failCalls(claim, ORDER_FAILURES.makeReused());
      return;
    }
    const competitor = tally.findCompetitor();
    if (competitor && this.peers.mayAnswer(competitor)) {
      for (const call of [...claim.calls.values()]) {
        this.forwardToIssuer(claim, call, competitor.host);
      }
      this.collectingVotes.delete(claim);
      return;
    }
    const mayStillChange = tally
      .listUndecidedMembers()
      .some(host => this.peers.isReachable(host));
    if (mayStillChange && nowMs < claim.giveUpAtMs) return;
    if (competitor) this.failCalls(claim, ORDER_FAILURES.makeUnknown());
    else if (tally.isKeyExpired()) {
      this.failCalls(claim, ORDER_FAILURES.makeExpired());
    } else {
      this.failCalls(
        claim,
        ORDER_FAILURES.makeUndecided(ExecutionStatus.UNKNOWN),
      );
    }
  }

  /** Forwards a call to the issuer whose claim may have won. */
  private forwardToIssuer(claim: Claim, call: Call, host: string): void {
    claim.calls.delete(call.submit.call);
    call.awaitsClaim = false;
    call.claimLost = true;
    if (call.pending.has(host)) return;
    if (!call.mayForwardToIssuer) {
      this.calls.fail(call, ORDER_FAILURES.makeUnknown());
      return;
    }
    this.calls.forward(call, host, Infinity);
  }

  private abandon(claim: Claim): void {
    this.collectingVotes.delete(claim);
    if (this.disabled.has(Safeguard.ABANDONMENT)) return;
    claim.state = ClaimState.ABANDONED;
  }

  private failCalls(claim: Claim, failure: Failure): void {
    this.collectingVotes.delete(claim);
    for (const call of claim.calls.values()) this.calls.fail(call, failure);
    claim.calls.clear();
  }
}
