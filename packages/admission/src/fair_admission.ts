import {ErrorKind} from '@parsleywood/errors';

import {AccountLimits} from './account_limits.js';
import type {Admission} from './admission.js';
import type {AdmissionAction} from './admission_action.js';
import {AdmissionActionKind} from './admission_action_kind.js';
import type {AdmissionEvent} from './admission_event.js';
import {AdmissionEventKind} from './admission_event_kind.js';
import type {AdmissionOptions} from './admission_options.js';
import type {AdmissionRequest} from './admission_request.js';
import type {ClassLane} from './class_lane.js';
import {ExpiryQueue} from './expiry_queue.js';
import {LaneTable} from './lane_table.js';
import type {QueuedRequest} from './queued_request.js';
import {toRefusal} from './to_refusal.js';

const DEFAULT_BATCH_THRESHOLD_MS = 3_600_000;
const DEFAULT_MAX_QUEUED = 1000;
const MAX_BATCH_QUEUED = 64;
/** Interval at which queued batch work checks for spare capacity. */
const BATCH_POLL_MS = 500;

interface OpenRequest {
  readonly lane: ClassLane;
  readonly queued: QueuedRequest;
}

/**
 * Admits requests by weighted fair queuing, within the limits of their accounts
 * and within concurrency limits adapted to measured times to first token.
 */
export class FairAdmission implements Admission {
  private readonly limits: AccountLimits;
  private readonly lanes: LaneTable;
  /** Requests that are queued or admitted, by id. */
  private readonly openRequests = new Map<string, OpenRequest>();
  private readonly expiryQueue = new ExpiryQueue();
  private batchPollAtMs = Infinity;

  constructor(private readonly options: AdmissionOptions) {
    this.limits = new AccountLimits(options);
    const {lengthClasses} = options.settings;
    this.lanes = new LaneTable(lengthClasses, options.random);
  }

  handle(event: AdmissionEvent, nowMs: number): AdmissionAction[] {
    const actions: AdmissionAction[] = [];
    this.refuseExpired(actions, nowMs);
    this.applyEvent(event, actions, nowMs);
    this.dispatch(actions, nowMs);
    for (const [to, message] of this.limits.takeDueMessages(nowMs)) {
      actions.push({kind: AdmissionActionKind.SEND, to, message});
    }
    return actions;
  }

  wakeAtMs(): number {
    return Math.min(
      this.expiryQueue.getNextAtMs(),
      this.limits.sendAtMs,
      this.batchPollAtMs,
    );
  }

  private applyEvent(
    event: AdmissionEvent,
    actions: AdmissionAction[],
    nowMs: number,
  ): void {
    switch (event.kind) {
      case AdmissionEventKind.REQUESTED:
        this.queueOrRefuse(event, actions, nowMs);
        break;
      case AdmissionEventKind.STARTED:
        this.openRequests.get(event.id)?.lane.markStarted(event.id, nowMs);
        break;
      case AdmissionEventKind.FIRST_TOKEN:
        this.openRequests.get(event.id)?.lane.recordFirstToken(event.id, nowMs);
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
        this.limits.receive(event.from, event.message, nowMs);
        break;
      case AdmissionEventKind.WAKE:
        break;
    }
  }

  private queueOrRefuse(
    request: AdmissionRequest,
    actions: AdmissionAction[],
    nowMs: number,
  ): void {
    if (this.openRequests.has(request.id)) return;
    const limitWaitMs = this.limits.check(request, nowMs);
    if (limitWaitMs > 0) {
      actions.push(toRefusal(request, ErrorKind.ACCOUNT_LIMIT, limitWaitMs));
      return;
    }
    const lane = this.lanes.getOrCreate(request.model, request.lengthClass);
    const weight = this.limits.getWeight(request.account);
    const remainingMs = request.deadlineMs - nowMs;
    const isBatch =
      remainingMs >=
      (this.options.batchThresholdMs ?? DEFAULT_BATCH_THRESHOLD_MS);
    const waitMs = isBatch
      ? 0
      : lane.estimateWaitMs(request.account, weight, nowMs);
    const latestStartMs = this.computeLatestStartMs(
      request,
      lane,
      isBatch,
      nowMs,
    );
    const isLate = nowMs + waitMs > latestStartMs;
    if (isLate || !this.makeRoom(lane, request, isBatch, actions, nowMs)) {
      lane.markSaturated(nowMs);
      actions.push(this.toOverloadRefusal(request, lane, nowMs));
      return;
    }
    const queued = {
      request,
      queuedMs: nowMs,
      latestStartMs,
      isBatch,
      isDequeued: false,
    };
    this.limits.charge(request);
    this.openRequests.set(request.id, {lane, queued});
    this.expiryQueue.push(queued);
    if (isBatch) lane.batchQueue.push(queued);
    else lane.fairQueue.push(queued, weight);
  }

  private computeLatestStartMs(
    request: AdmissionRequest,
    lane: ClassLane,
    isBatch: boolean,
    nowMs: number,
  ): number {
    const latestMs = request.deadlineMs - lane.holdTime.getHighMs(nowMs);
    return isBatch ? latestMs : Math.min(latestMs, nowMs + lane.maxWaitMs);
  }

  /**
   * Returns whether the queue has room for the request. A full fair queue makes
   * room by refusing a request of the account with the largest backlog, unless
   * that account made the request.
   */
  private makeRoom(
    lane: ClassLane,
    request: AdmissionRequest,
    isBatch: boolean,
    actions: AdmissionAction[],
    nowMs: number,
  ): boolean {
    if (isBatch) return lane.batchQueue.size < MAX_BATCH_QUEUED;
    const maxQueued = this.options.maxQueued ?? DEFAULT_MAX_QUEUED;
    if (lane.fairQueue.size < maxQueued) return true;
    const evicted = lane.fairQueue.findEvictionCandidate();
    if (!evicted || evicted.request.account === request.account) return false;
    this.refuseQueued(evicted, actions, nowMs);
    return true;
  }

  private dispatch(actions: AdmissionAction[], nowMs: number): void {
    this.batchPollAtMs = Infinity;
    for (const lanes of this.lanes.listByModel()) {
      for (const lane of lanes) this.dispatchLane(lane, actions, nowMs);
      this.dispatchBatch(lanes, actions, nowMs);
    }
  }

  private dispatchLane(
    lane: ClassLane,
    actions: AdmissionAction[],
    nowMs: number,
  ): void {
    while (lane.hasFreeSlot) {
      const isBatchDue =
        lane.batchQueue.size > 0 && nowMs >= lane.getBatchDueMs(nowMs);
      const queued = isBatchDue ? lane.batchQueue.pop() : lane.popFair();
      if (!queued) break;
      this.admit(lane, queued, actions, nowMs);
    }
    if (lane.fairQueue.size > 0) lane.markSaturated(nowMs);
  }

  /** Starts batch work when no length class of the model needs the capacity. */
  private dispatchBatch(
    lanes: readonly ClassLane[],
    actions: AdmissionAction[],
    nowMs: number,
  ): void {
    const batchLanes = lanes.filter(lane => lane.batchQueue.size > 0);
    if (batchLanes.length === 0) return;
    const hasHeadroom = lanes.every(
      lane => lane.fairQueue.size === 0 && lane.limit.hasHeadroom,
    );
    for (const lane of batchLanes) {
      while (
        hasHeadroom &&
        lane.batchQueue.size > 0 &&
        lane.hasBatchCapacity(nowMs)
      ) {
        const queued = lane.batchQueue.pop();
        if (queued) this.admit(lane, queued, actions, nowMs);
      }
      if (lane.batchQueue.size > 0) this.batchPollAtMs = nowMs + BATCH_POLL_MS;
    }
  }

  private admit(
    lane: ClassLane,
    queued: QueuedRequest,
    actions: AdmissionAction[],
    nowMs: number,
  ): void {
    const {request} = queued;
    if (request.deadlineMs - lane.holdTime.getHighMs(nowMs) < nowMs) {
      this.openRequests.delete(request.id);
      this.limits.release(request, 0);
      actions.push(this.toOverloadRefusal(request, lane, nowMs));
      return;
    }
    lane.admit(queued, nowMs);
    actions.push({kind: AdmissionActionKind.ADMIT, id: queued.request.id});
  }

  private finish(
    id: string,
    succeeded: boolean,
    tokens: number | undefined,
    nowMs: number,
  ): void {
    const openRequest = this.openRequests.get(id);
    if (!openRequest) return;
    this.openRequests.delete(id);
    const {lane, queued} = openRequest;
    const running = lane.finish(id, succeeded, nowMs);
    if (!running) this.removeFromQueue(lane, queued);
    this.limits.release(
      queued.request,
      running ? (tokens ?? queued.request.tokens) : 0,
    );
  }

  private refuseExpired(actions: AdmissionAction[], nowMs: number): void {
    for (;;) {
      const expired = this.expiryQueue.findExpired(nowMs);
      if (!expired) return;
      this.refuseQueued(expired, actions, nowMs);
    }
  }

  private refuseQueued(
    queued: QueuedRequest,
    actions: AdmissionAction[],
    nowMs: number,
  ): void {
    const openRequest = this.openRequests.get(queued.request.id);
    queued.isDequeued = queued.isDequeued || !openRequest;
    if (!openRequest) return;
    this.openRequests.delete(queued.request.id);
    openRequest.lane.markSaturated(nowMs);
    this.removeFromQueue(openRequest.lane, queued);
    this.limits.release(queued.request, 0);
    actions.push(
      this.toOverloadRefusal(queued.request, openRequest.lane, nowMs),
    );
  }

  private removeFromQueue(lane: ClassLane, queued: QueuedRequest): void {
    if (queued.isBatch) lane.batchQueue.remove(queued);
    else lane.fairQueue.remove(queued);
  }

  private toOverloadRefusal(
    request: AdmissionRequest,
    lane: ClassLane,
    nowMs: number,
  ): AdmissionAction {
    const retryAfterMs = lane.scheduleRetry(nowMs);
    return toRefusal(request, ErrorKind.OVERLOADED, retryAfterMs);
  }
}
