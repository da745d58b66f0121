import type {OrderMessage} from '@parsleywood/schema/orders';
import type {Decision, Incarnation} from '@parsleywood/types';
import type {Call} from './call.js';
import {Calls} from './calls.js';
import {ClaimTable} from './claim_table.js';
import {IssuedClaims} from './issued_claims.js';
import {CrashVector} from './crash_vector.js';
import type {MessageEvent} from './message_event.js';
import {makeOrderId} from './make_order_id.js';
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

/** Ensures that each order runs at most once on the hosts of one site. */
export class Orders implements Decision<OrderEvent, OrderAction> {
  private readonly outbox = new Outbox();
  private readonly bounds = new OrderBounds();
  private readonly crashVector = new CrashVector();
  private readonly peers = new Peers(this.crashVector);
  private readonly calls = new Calls(this.outbox);
  private readonly table: ClaimTable;
  private readonly recovery: Recovery;
  private readonly witness: Witness;
  private readonly issuedClaims: IssuedClaims;
  private readonly router: Router;
  private wallOffsetMs = 0;
  private nextExpiryAtMs = 0;
  private isClosing = false;

  /**
   * @param self Incarnation of this host.
   * @param capacity Maximum number of orders kept; further new keys are refused.
   * @param disabled Safeguards to leave out; for tests only.
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
    this.issuedClaims = new IssuedClaims(
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
    // Expires calls first, so that nothing is sent for a call past its deadline,
    // even if the process was paused.
    this.calls.expire(nowMs);
    const view = this.recovery.view;
    this.handleEvent(event, nowMs);
    if (this.recovery.view && this.recovery.view !== view) {
      this.issuedClaims.enterView(
        this.recovery.view,
        nowMs,
        this.readWallClock(nowMs),
      );
    }
    this.expire(nowMs);
    return this.outbox.drain();
  }

  wakeAtMs(): number {
    return Math.min(
      this.calls.wakeAtMs(),
      this.issuedClaims.wakeAtMs(),
      this.recovery.wakeAtMs(),
    );
  }

  /** Whether this host votes in its current view; for status and readiness. */
  mayVote(): boolean {
    return this.recovery.mayVote();
  }

  /** Whether this host has the claim records of the last view it voted in. */
  hasClaimRecords(): boolean {
    return this.recovery.hasClaimRecords();
  }

  private handleEvent(event: OrderEvent, nowMs: number): void {
    switch (event.kind) {
      case OrderEventKind.SUBMIT:
        this.setWallClock(event.wallMs, nowMs);
        this.submit(event, nowMs);
        break;
      case OrderEventKind.MESSAGE:
        this.setWallClock(event.wallMs, nowMs);
        this.handleMessage(event, nowMs);
        break;
      case OrderEventKind.FORWARD_FAILED:
        this.router.handleForwardFailure(event.call, event.to, nowMs);
        break;
      case OrderEventKind.FORWARDED_OUTCOME:
        this.router.handleForwardedOutcome(
          event.call,
          event.from,
          event.outcome,
          nowMs,
        );
        break;
      case OrderEventKind.VIEW:
        this.recovery.enterView(
          new View(event.number, event.members, event.leaving),
          nowMs,
        );
        break;
      case OrderEventKind.PEER:
        this.peers.update(event.host, event.incarnation, event.state);
        if (this.peers.isDead(event.host)) {
          this.router.failForwardsTo(event.host, nowMs);
        }
        this.issuedClaims.evaluateAll(nowMs);
        break;
      case OrderEventKind.OUTCOME:
        this.issuedClaims.finish(
          makeOrderId(event.account, event.key),
          event.outcome,
        );
        break;
      case OrderEventKind.SETTINGS:
        this.bounds.update(event.orders);
        break;
      case OrderEventKind.WAKE:
        this.wake(nowMs);
        break;
      case OrderEventKind.CLOSE:
        this.isClosing = true;
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
    } else if (event.forwarded || this.issuedClaims.has(call.orderId)) {
      this.claim(call, nowMs);
    } else if (this.bounds.isKeyExpired(event.key, event.wallMs)) {
      this.calls.fail(call, ORDER_FAILURES.makeExpired());
    } else {
      this.router.startRouting(call, view, this.isClosing, nowMs);
    }
  }

  private claim(call: Call, nowMs: number): void {
    const view = this.recovery.view;
    if (!view || (this.isClosing && !this.issuedClaims.has(call.orderId))) {
      this.calls.fail(call, ORDER_FAILURES.makeUnavailable());
      return;
    }
    this.issuedClaims.submit(call, view, nowMs, this.readWallClock(nowMs));
  }

  private wake(nowMs: number): void {
    const wallMs = this.readWallClock(nowMs);
    this.router.wake(nowMs);
    this.issuedClaims.wake(nowMs, wallMs);
    this.recovery.wake(nowMs);
  }

  private expire(nowMs: number): void {
    if (nowMs < this.nextExpiryAtMs) return;
    this.nextExpiryAtMs = nowMs + EXPIRY_INTERVAL_MS;
    this.table.expire(this.readWallClock(nowMs));
    this.issuedClaims.expire(this.readWallClock(nowMs));
  }

  private handleMessage(event: MessageEvent, nowMs: number): void {
    this.crashVector.observe(event.from, event.incarnation);
    const {body} = event.message;
    if (body) this.handleMessageBody(event, body, nowMs);
  }

  private handleMessageBody(
    {from, incarnation, wallMs}: MessageEvent,
    body: NonNullable<OrderMessage['body']>,
    nowMs: number,
  ): void {
    switch (body.$case) {
      case 'claim': {
        const vote = this.witness.vote(body.value, wallMs);
        if (vote) this.outbox.send(from, {$case: 'vote', value: vote});
        if (body.value.view > (this.recovery.view?.number ?? 0)) {
          this.recovery.requestView(from);
        }
        break;
      }
      case 'vote':
        this.crashVector.merge(body.value.crashVector);
        if (body.value.newerView) {
          this.recovery.enterView(
            View.fromMessage(body.value.newerView),
            nowMs,
          );
        }
        this.issuedClaims.handleVote(from, incarnation, body.value, nowMs);
        break;
      case 'stateQuery':
        this.recovery.handleQuery(from, incarnation, body.value, nowMs);
        break;
      case 'state':
        this.recovery.handleState(from, incarnation, body.value, nowMs);
        this.issuedClaims.evaluateAll(nowMs);
        break;
    }
  }

  private setWallClock(wallMs: number, nowMs: number): void {
    this.wallOffsetMs = wallMs - nowMs;
  }

  private readWallClock(nowMs: number): number {
    return Math.floor(nowMs + this.wallOffsetMs);
  }
}
