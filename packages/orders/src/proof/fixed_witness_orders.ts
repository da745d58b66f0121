import {ExecutionStatus} from '@parsleywood/errors';
import {
  OrderVoteAnswer,
  type OrderClaim,
  type OrderVote,
} from '@parsleywood/schema/orders';
import type {Decision, Incarnation} from '@parsleywood/types';
import {KeyStatus} from '../key_status.js';
import {makeOrderId} from '../make_order_id.js';
import type {OrderAction} from '../order_action.js';
import {OrderActionKind} from '../order_action_kind.js';
import {OrderBounds} from '../order_bounds.js';
import type {OrderEvent} from '../order_event.js';
import {OrderEventKind} from '../order_event_kind.js';
import {Outbox} from '../outbox.js';
import {parseStartTime} from '../parse_start_time.js';
import type {SubmitEvent} from '../submit_event.js';
import {View} from '../view.js';
import {makeOutcome} from './make_outcome.js';

const WITNESS_COUNT = 5;
const QUORUM_SIZE = 4;

interface Claim {
  readonly submit: SubmitEvent;
  readonly granted: Set<string>;
  dispatched: boolean;
  finished: boolean;
  calls: string[];
}

/**
 * Baseline with a fixed number of witnesses. The issuer asks the five hosts of
 * its own host list that rank highest for the order, and dispatches after four
 * votes. A witness does not vote for keys older than its start.
 */
export class FixedWitnessOrders implements Decision<OrderEvent, OrderAction> {
  private readonly outbox = new Outbox();
  private readonly bounds = new OrderBounds();
  private readonly votes = new Map<string, string>();
  private readonly claims = new Map<string, Claim>();
  private readonly forwardedCalls = new Map<string, SubmitEvent>();
  private view = new View(0, []);

  constructor(private readonly self: Incarnation) {}

  handle(event: OrderEvent): OrderAction[] {
    this.handleEvent(event);
    return this.outbox.drain();
  }

  wakeAtMs(): number {
    return Infinity;
  }

  private handleEvent(event: OrderEvent): void {
    switch (event.kind) {
      case OrderEventKind.SETTINGS:
        this.bounds.update(event.orders);
        break;
      case OrderEventKind.VIEW:
        if (event.number > this.view.number) {
          this.view = new View(event.number, event.members);
        }
        break;
      case OrderEventKind.SUBMIT:
        this.submit(event);
        break;
      case OrderEventKind.FORWARD_FAILED: {
        const submit = this.forwardedCalls.get(event.call);
        this.forwardedCalls.delete(event.call);
        if (submit) this.claim(submit);
        break;
      }
      case OrderEventKind.FORWARDED_OUTCOME:
        if (!this.forwardedCalls.delete(event.call)) break;
        this.answer([event.call]);
        break;
      case OrderEventKind.MESSAGE:
        this.handleMessage(event);
        break;
      case OrderEventKind.OUTCOME: {
        const claim = this.claims.get(makeOrderId(event.account, event.key));
        if (!claim) break;
        claim.finished = true;
        this.answer(claim.calls.splice(0));
        break;
      }
    }
  }

  private submit(event: SubmitEvent): void {
    const order = makeOrderId(event.account, event.key);
    const owner = this.view.rankMembers(order)[0];
    if (event.forwarded || owner === this.self.host || !owner) {
      this.claim(event);
      return;
    }
    this.forwardedCalls.set(event.call, event);
    const {call} = event;
    this.outbox.push({kind: OrderActionKind.FORWARD, call, to: owner});
  }

  private claim(submit: SubmitEvent): void {
    const {account, key, call} = submit;
    const order = makeOrderId(account, key);
    const known = this.claims.get(order);
    if (known?.finished) {
      this.answer([call]);
      return;
    }
    if (known) {
      known.calls.push(call);
      return;
    }
    const calls = [call];
    const granted = new Set<string>();
    const claim = {submit, granted, dispatched: false, finished: false, calls};
    this.claims.set(order, claim);
    const message: OrderClaim = {
      account,
      key,
      issuer: {host: this.self.host, incarnation: this.self.id},
      number: 0,
      view: 0,
      fingerprint: submit.fingerprint,
      sentAtMs: submit.wallMs,
    };
    for (const host of this.view.rankMembers(order).slice(0, WITNESS_COUNT)) {
      if (host !== this.self.host) {
        this.outbox.send(host, {$case: 'claim', value: message});
      } else if (this.vote(message, submit.wallMs)) {
        this.countVote(order, host);
      }
    }
  }

  private handleMessage(event: OrderEvent & {kind: OrderEventKind.MESSAGE}) {
    const {body} = event.message;
    if (body?.$case === 'claim') {
      if (!this.vote(body.value, event.wallMs)) return;
      const vote = makeVote(body.value);
      this.outbox.send(event.from, {$case: 'vote', value: vote});
    } else if (body?.$case === 'vote') {
      const {issuer, account, key} = body.value;
      if (issuer?.incarnation !== this.self.id) return;
      this.countVote(makeOrderId(account, key), event.from);
    }
  }

  private vote(claim: OrderClaim, wallMs: number): boolean {
    const order = makeOrderId(claim.account, claim.key);
    const issuer = claim.issuer?.incarnation ?? '';
    const issuerId = `${claim.issuer?.host ?? ''}/${issuer}`;
    const bound = this.votes.get(order);
    if (bound !== undefined) return bound === issuerId;
    const memoryFromMs = parseStartTime(this.self.id);
    const cover = this.bounds.getKeyStatus(claim.key, memoryFromMs, wallMs);
    if (cover !== KeyStatus.COVERED) return false;
    this.votes.set(order, issuerId);
    return true;
  }

  private countVote(order: string, host: string): void {
    const claim = this.claims.get(order);
    if (!claim || claim.dispatched) return;
    claim.granted.add(host);
    const witnesses = Math.min(WITNESS_COUNT, this.view.members.length);
    const quorum =
      witnesses === WITNESS_COUNT ? QUORUM_SIZE : Math.floor(witnesses / 2) + 1;
    if (claim.granted.size < quorum) return;
    claim.dispatched = true;
    const {account, key, call} = claim.submit;
    const kind = OrderActionKind.DISPATCH;
    this.outbox.push({kind, call, account, key, fencing: 0});
  }

  private answer(calls: readonly string[]): void {
    for (const call of calls) {
      const outcome = makeOutcome('', ExecutionStatus.YES);
      this.outbox.push({kind: OrderActionKind.ANSWER, call, outcome});
    }
  }
}

function makeVote(claim: OrderClaim): OrderVote {
  return {
    account: claim.account,
    key: claim.key,
    number: claim.number,
    view: claim.view,
    answer: OrderVoteAnswer.ORDER_VOTE_ANSWER_GRANTED,
    boundTo: undefined,
    boundFingerprint: '',
    crashVector: [],
    newerView: undefined,
    issuer: claim.issuer,
  };
}
