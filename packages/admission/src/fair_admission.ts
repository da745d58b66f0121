import {ErrorKind} from '@parsleywood/errors';

import {AccountLimits} from './account_limits.js';
import type {Admission} from './admission.js';
import type {AdmissionAction} from './admission_action.js';
import {AdmissionActionKind} from './admission_action_kind.js';
import type {AdmissionEvent} from './admission_event.js';
import {AdmissionEventKind} from './admission_event_kind.js';
import type {AdmissionOptions} from './admission_options.js';
import type {ClassLane} from './class_lane.js';
import {ExpiryQueue} from './expiry_queue.js';
import {LaneTable} from './lane_table.js';
import type {Offer} from './offer.js';
import type {QueuedOffer} from './queued_request.js';
import {toRefusal} from './to_refusal.js';

const DEFAULT_BATCH_LIMIT_MS = 3_600_000;
const DEFAULT_MAX_QUEUED = 1000;
const MAX_BATCH_QUEUED = 64;
/** How often queued batch work looks for slack. */
const BATCH_POLL_MS = 500;

interface Held {
  readonly lane: ClassLane;
  readonly queued: QueuedOffer;
}

/** Admits by fair shares, limits of the accounts and measured first-token time. */
export class FairAdmission implements Admission {
  private readonly limits: AccountLimits;
  private readonly lanes: LaneTable;
  /** Offers that are queued or admitted. */
  private readonly held = new Map<string, Held>();
  private readonly expiries = new ExpiryQueue();
  private batchPollMs = Infinity;

  constructor(private readonly options: AdmissionOptions) {
    this.limits = new AccountLimits(options);
    const {lengthClasses} = options.settings;
    this.lanes = new LaneTable(lengthClasses, options.random);
  }

  handle(event: AdmissionEvent, nowMs: number): AdmissionAction[] {
    const actions: AdmissionAction[] = [];
    this.refuseExpired(actions, nowMs);
    this.take(event, actions, nowMs);
    this.dispatch(actions, nowMs);
    for (const [to, message] of this.limits.takeMessages(nowMs)) {
      actions.push({kind: AdmissionActionKind.SEND, to, message});
    }
    return actions;
  }

  wakeAtMs(): number {
    return Math.min(
      this.expiries.nextAtMs(),
      this.limits.sendAtMs,
      this.batchPollMs,
    );
  }

  private take(
    event: AdmissionEvent,
    actions: AdmissionAction[],
    nowMs: number,
  ): void {
    switch (event.kind) {
      case AdmissionEventKind.OFFER:
        this.takeOffer(event, actions, nowMs);
        break;
      case AdmissionEventKind.STARTED:
        this.held.get(event.id)?.lane.start(event.id, nowMs);
        break;
      case AdmissionEventKind.FIRST_TOKEN:
        this.held.get(event.id)?.lane.takeFirstToken(event.id, nowMs);
        break;
      case AdmissionEventKind.FINISHED:
        this.finish(event.id, event.succeeded, event.tokens, nowMs);
        break;
      case AdmissionEventKind.CANCELLED:
        this.finish(event.id, false, undefined, nowMs);
        break;
      case AdmissionEventKind.SETTINGS:
        this.limits.setSettings(event.settings.accounts);
        this.lanes.setClasses(event.settings.lengthClasses);
        break;
      case AdmissionEventKind.PEERS:
        this.limits.setPeers(event.hosts, nowMs);
        break;
      case AdmissionEventKind.LIMIT_MESSAGE:
        this.limits.hear(event.from, event.message, nowMs);
        break;
      case AdmissionEventKind.WAKE:
        break;
    }
  }

  private takeOffer(
    offer: Offer,
    actions: AdmissionAction[],
    nowMs: number,
  ): void {
    if (this.held.has(offer.id)) return;
    const limitMs = this.limits.check(offer, nowMs);
    if (limitMs > 0) {
      actions.push(toRefusal(offer, ErrorKind.ACCOUNT_LIMIT, limitMs));
      return;
    }
    const lane = this.lanes.lane(offer.model, offer.lengthClass);
    const share = this.limits.shareOf(offer.account);
    const leftMs = offer.deadlineMs - nowMs;
    const batch =
      leftMs >= (this.options.batchLimitMs ?? DEFAULT_BATCH_LIMIT_MS);
    const waitMs = batch ? 0 : lane.waitMs(offer.account, share, nowMs);
    const latestStartMs = this.latestStartMs(offer, lane, batch, nowMs);
    const isLate = nowMs + waitMs > latestStartMs;
    if (isLate || !this.makeRoom(lane, offer, batch, actions, nowMs)) {
      lane.noteBusy(nowMs);
      actions.push(this.refuseOverload(offer, lane, nowMs));
      return;
    }
    const queued = {offer, queuedMs: nowMs, latestStartMs, batch, left: false};
    this.limits.take(offer);
    this.held.set(offer.id, {lane, queued});
    this.expiries.push(queued);
    if (batch) lane.batch.push(queued);
    else lane.fair.push(queued, share);
  }

  private latestStartMs(
    offer: Offer,
    lane: ClassLane,
    batch: boolean,
    nowMs: number,
  ): number {
    const latestMs = offer.deadlineMs - lane.hold.highMs(nowMs);
    return batch ? latestMs : Math.min(latestMs, nowMs + lane.maxWaitMs);
  }

  /** Makes room in a full queue at the cost of the account that holds most. */
  private makeRoom(
    lane: ClassLane,
    offer: Offer,
    batch: boolean,
    actions: AdmissionAction[],
    nowMs: number,
  ): boolean {
    if (batch) return lane.batch.size < MAX_BATCH_QUEUED;
    const maxQueued = this.options.maxQueued ?? DEFAULT_MAX_QUEUED;
    if (lane.fair.size < maxQueued) return true;
    const largest = lane.fair.findLargest();
    if (!largest || largest.offer.account === offer.account) return false;
    this.refuseQueued(largest, actions, nowMs);
    return true;
  }

  private dispatch(actions: AdmissionAction[], nowMs: number): void {
    this.batchPollMs = Infinity;
    for (const lanes of this.lanes.byModel()) {
      for (const lane of lanes) this.dispatchLane(lane, actions, nowMs);
      this.dispatchSlack(lanes, actions, nowMs);
    }
  }

  private dispatchLane(
    lane: ClassLane,
    actions: AdmissionAction[],
    nowMs: number,
  ): void {
    while (lane.hasPlace) {
      const due = lane.batch.size > 0 && nowMs >= lane.batchDueMs(nowMs);
      const queued = due ? lane.batch.pop() : lane.popFair();
      if (!queued) break;
      this.admit(lane, queued, actions, nowMs);
    }
    if (lane.fair.size > 0) lane.noteBusy(nowMs);
  }

  /** Gives batch work the places that no class of the model needs. */
  private dispatchSlack(
    lanes: readonly ClassLane[],
    actions: AdmissionAction[],
    nowMs: number,
  ): void {
    const waiting = lanes.filter(lane => lane.batch.size > 0);
    if (waiting.length === 0) return;
    const isCalm = lanes.every(
      lane => lane.fair.size === 0 && lane.limit.isRelaxed,
    );
    for (const lane of waiting) {
      while (isCalm && lane.batch.size > 0 && lane.hasSlack(nowMs)) {
        const queued = lane.batch.pop();
        if (queued) this.admit(lane, queued, actions, nowMs);
      }
      if (lane.batch.size > 0) this.batchPollMs = nowMs + BATCH_POLL_MS;
    }
  }

  private admit(
    lane: ClassLane,
    queued: QueuedOffer,
    actions: AdmissionAction[],
    nowMs: number,
  ): void {
    const {offer} = queued;
    if (offer.deadlineMs - lane.hold.highMs(nowMs) < nowMs) {
      this.held.delete(offer.id);
      this.limits.free(offer, 0);
      actions.push(this.refuseOverload(offer, lane, nowMs));
      return;
    }
    lane.admit(queued, nowMs);
    actions.push({kind: AdmissionActionKind.ADMIT, id: queued.offer.id});
  }

  private finish(
    id: string,
    succeeded: boolean,
    tokens: number | undefined,
    nowMs: number,
  ): void {
    const held = this.held.get(id);
    if (!held) return;
    this.held.delete(id);
    const {lane, queued} = held;
    const ran = lane.end(id, succeeded, nowMs);
    if (!ran) this.leaveQueue(lane, queued);
    this.limits.free(queued.offer, ran ? (tokens ?? queued.offer.tokens) : 0);
  }

  private refuseExpired(actions: AdmissionAction[], nowMs: number): void {
    for (;;) {
      const expired = this.expiries.findExpired(nowMs);
      if (!expired) return;
      this.refuseQueued(expired, actions, nowMs);
    }
  }

  private refuseQueued(
    queued: QueuedOffer,
    actions: AdmissionAction[],
    nowMs: number,
  ): void {
    const held = this.held.get(queued.offer.id);
    queued.left = queued.left || !held;
    if (!held) return;
    this.held.delete(queued.offer.id);
    held.lane.noteBusy(nowMs);
    this.leaveQueue(held.lane, queued);
    this.limits.free(queued.offer, 0);
    actions.push(this.refuseOverload(queued.offer, held.lane, nowMs));
  }

  private leaveQueue(lane: ClassLane, queued: QueuedOffer): void {
    if (queued.batch) lane.batch.remove(queued);
    else lane.fair.remove(queued);
  }

  private refuseOverload(
    offer: Offer,
    lane: ClassLane,
    nowMs: number,
  ): AdmissionAction {
    const retryAfterMs = lane.retryAfterMs(nowMs);
    return toRefusal(offer, ErrorKind.OVERLOADED, retryAfterMs);
  }
}
