import type {OrderMessage} from '@parsleywood/schema/orders';
import type {Decision, Incarnation} from '@parsleywood/types';
import type {Call} from './call.js';
import {Calls} from './calls.js';
import {ClaimTable} from './claim_table.js';
import {Claims} from './issued_claims.js';
import {CrashVector} from './crash_vector.js';
import type {MessageEvent} from './message_event.js';
import {nameOrder} from './make_order_id.js';
import type {OrderAction} from './order_action.js';
import {OrderBounds} from './order_bounds.js';
import type {OrderEvent} from './order_event.js';
import {OrderEventKind} from './order_event_kind.js';
import {ORDER_FAILURES} from './order_failures.js';
import {Outbox} from './outbox.js';
import {Peers} from './peers.js';
import {Recovery} from './recovery.js';
import {Router} from './router.js';
import type {Safeguard} from './safeguard.js';
import type {SubmitEvent} from './submit_event.js';
import {View} from './view.js';
import {Witness} from './witness.js';

const DEFAULT_CAPACITY = 500_000;
const EXPIRY_INTERVAL_MS = 10_000;

/** Lets each order run at most once over the hosts of one site. */
export class Orders implements Decision<OrderEvent, OrderAction> {
  private readonly outbox = new Outbox();
  private readonly bounds = new OrderBounds();
  private readonly crashVector = new CrashVector();
  private readonly peers = new Peers(this.crashVector);
  private readonly calls = new Calls(this.outbox);
  private readonly table: ClaimTable;
  private readonly recovery: Recovery;
  private readonly witness: Witness;
  private readonly claims: Claims;
  private readonly router: Router;
  private wallOffsetMs = 0;
  private expireAtMs = 0;
  private closing = false;

  /**
   * @param self This run of this host's process.
   * @param capacity Orders remembered; beyond it new keys are refused.
   * @param disabled Safeguards left out; for tests alone.
   */
  constructor(
    self: Incarnation,
    capacity = DEFAULT_CAPACITY,
    disabled: ReadonlySet<Safeguard> = new Set(),
  ) {
    const {bounds, crashVector, outbox} = this;
    this.table = new ClaimTable(capacity);
    this.recovery = new Recovery(
      self,
      this.table,
      crashVector,
      outbox,
      bounds,
      disabled,
    );
    this.witness = new Witness(
      this.table,
      this.recovery,
      crashVector,
      bounds,
      disabled,
    );
    this.claims = new Claims(
      self,
      this.witness,
      crashVector,
      bounds,
      this.peers,
      this.calls,
      outbox,
      capacity,
      disabled,
    );
    this.router = new Router(
      self.host,
      bounds,
      this.peers,
      this.calls,
      (call, nowMs) => {
        this.claim(call, nowMs);
      },
    );
  }

  handle(event: OrderEvent, nowMs: number): OrderAction[] {
    // Work past its time limit ends before anything is sent, also after a pause.
    this.calls.expire(nowMs);
    const view = this.recovery.view;
    this.take(event, nowMs);
    if (this.recovery.view && this.recovery.view !== view) {
      this.claims.enterView(this.recovery.view, nowMs, this.readWall(nowMs));
    }
    this.expire(nowMs);
    return this.outbox.take();
  }

  wakeAtMs(): number {
    return Math.min(
      this.calls.wakeAtMs(),
      this.claims.wakeAtMs(),
      this.recovery.wakeAtMs(),
    );
  }

  /** Whether this host votes in its present view; for status and readiness. */
  mayVote(): boolean {
    return this.recovery.mayVote();
  }

  /** Whether this host has the claims of the newest view it was active in. */
  hasMemory(): boolean {
    return this.recovery.hasMemory();
  }

  private take(event: OrderEvent, nowMs: number): void {
    switch (event.kind) {
      case OrderEventKind.SUBMIT:
        this.setWall(event.wallMs, nowMs);
        this.submit(event, nowMs);
        break;
      case OrderEventKind.MESSAGE:
        this.setWall(event.wallMs, nowMs);
        this.takeMessage(event, nowMs);
        break;
      case OrderEventKind.FORWARD_FAILED:
        this.router.takeFailure(event.call, event.to, nowMs);
        break;
      case OrderEventKind.FORWARDED_OUTCOME:
        this.router.takeOutcome(event.call, event.from, event.outcome, nowMs);
        break;
      case OrderEventKind.VIEW:
        this.recovery.enter(
          new View(event.number, event.members, event.leaving),
          nowMs,
        );
        break;
      case OrderEventKind.PEER:
        this.peers.update(event.host, event.incarnation, event.state);
        if (this.peers.isDead(event.host)) {
          this.router.leavePeer(event.host, nowMs);
        }
        this.claims.settleAll(nowMs);
        break;
      case OrderEventKind.OUTCOME:
        this.claims.finish(nameOrder(event.account, event.key), event.outcome);
        break;
      case OrderEventKind.SETTINGS:
        this.bounds.update(event.orders);
        break;
      case OrderEventKind.WAKE:
        this.wake(nowMs);
        break;
      case OrderEventKind.CLOSE:
        this.closing = true;
        this.recovery.resign(nowMs);
        break;
    }
  }

  private submit(event: SubmitEvent, nowMs: number): void {
    const call = this.calls.add(event);
    const view = this.recovery.view;
    if (event.deadlineMs <= nowMs) {
      this.calls.expire(nowMs);
    } else if (!view) {
      this.calls.fail(call, ORDER_FAILURES.makeUnavailable());
    } else if (event.forwarded || this.claims.has(call.order)) {
      this.claim(call, nowMs);
    } else if (this.bounds.isExpired(event.key, event.wallMs)) {
      this.calls.fail(call, ORDER_FAILURES.makeExpired());
    } else {
      this.router.start(call, view, this.closing, nowMs);
    }
  }

  private claim(call: Call, nowMs: number): void {
    const view = this.recovery.view;
    if (!view || (this.closing && !this.claims.has(call.order))) {
      this.calls.fail(call, ORDER_FAILURES.makeUnavailable());
      return;
    }
    this.claims.submit(call, view, nowMs, this.readWall(nowMs));
  }

  private wake(nowMs: number): void {
    const wallMs = this.readWall(nowMs);
    this.router.wake(nowMs);
    this.claims.wake(nowMs, wallMs);
    this.recovery.wake(nowMs);
  }

  private expire(nowMs: number): void {
    if (nowMs < this.expireAtMs) return;
    this.expireAtMs = nowMs + EXPIRY_INTERVAL_MS;
    this.table.expire(this.readWall(nowMs));
    this.claims.expire(this.readWall(nowMs));
  }

  private takeMessage(event: MessageEvent, nowMs: number): void {
    this.crashVector.observe(event.from, event.incarnation);
    const {body} = event.message;
    if (body) this.takeBody(event, body, nowMs);
  }

  private takeBody(
    {from, incarnation, wallMs}: MessageEvent,
    body: NonNullable<OrderMessage['body']>,
    nowMs: number,
  ): void {
    switch (body.$case) {
      case 'claim': {
        const vote = this.witness.vote(body.value, wallMs);
        if (vote) this.outbox.send(from, {$case: 'vote', value: vote});
        if (body.value.view > (this.recovery.view?.number ?? 0)) {
          this.recovery.askView(from);
        }
        break;
      }
      case 'vote':
        this.crashVector.merge(body.value.crashVector);
        if (body.value.newerView) {
          this.recovery.enter(View.fromMessage(body.value.newerView), nowMs);
        }
        this.claims.takeVote(from, incarnation, body.value, nowMs);
        break;
      case 'stateQuery':
        this.recovery.takeQuery(from, incarnation, body.value, nowMs);
        break;
      case 'state':
        this.recovery.takeState(from, incarnation, body.value, nowMs);
        this.claims.settleAll(nowMs);
        break;
    }
  }

  private setWall(wallMs: number, nowMs: number): void {
    this.wallOffsetMs = wallMs - nowMs;
  }

  private readWall(nowMs: number): number {
    return Math.floor(nowMs + this.wallOffsetMs);
  }
}
