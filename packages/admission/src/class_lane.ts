import type {LengthClassSettings} from '@parsleywood/schema/settings';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {BatchQueue} from './batch_queue.js';
import {FairQueue} from './fair_queue.js';
import {FirstTokenLimit} from './adaptive_limit.js';
import {HoldEstimate} from './hold_time_estimate.js';
import type {QueuedOffer} from './queued_request.js';
import {ReturnPacer} from './retry_pacer.js';
import type {RunningRequest} from './running_request.js';

/** Prompt tokens that one host has at its engines at first, by class. */
const INITIAL_TOKENS = 512 * 1024;
const MIN_INITIAL = 2;
const MAX_INITIAL = 64;
/** Part of the first-token target that a request may be queued. */
const QUEUE_PART = 0.5;
/** Factor on the wait of an account that has others queued, so that few expire. */
const WAIT_MARGIN = 5;
/** Part of the served rate at which refused callers are asked to return. */
const RETURN_PART = 0.1;
/** Part of the places kept for accounts that have nothing running. */
const KEPT_PART = 0.1;
/** Part of the places that batch work may fill while there is slack. */
const SLACK_PART = 0.7;
/** Batch work waits for this long after the lane was last short of places. */
const CALM_MS = 2000;

/** Queues, places and measured times of one model and length class. */
export class ClassLane {
  readonly fair = new FairQueue();
  readonly batch = new BatchQueue();
  readonly limit: FirstTokenLimit;
  readonly hold: HoldEstimate;
  private readonly pacer: ReturnPacer;
  private readonly running = new Map<string, RunningRequest>();
  /** Admitted requests without a first token, the oldest first. */
  private readonly waiting = new Map<string, RunningRequest>();
  private readonly runningByAccount = new Map<string, number>();
  private busyMs = -Infinity;

  constructor(
    private settings: LengthClassSettings,
    random: RandomGenerator,
  ) {
    const initial = Math.floor(INITIAL_TOKENS / settings.upToTokens);
    this.limit = new FirstTokenLimit(
      Math.min(MAX_INITIAL, Math.max(MIN_INITIAL, initial)),
      settings.firstTokenTargetMs,
    );
    this.hold = new HoldEstimate(settings.firstTokenTargetMs / 2);
    this.pacer = new ReturnPacer(random);
  }

  /** Longest time in the queue for a request that a caller waits for. */
  get maxWaitMs(): number {
    return this.settings.firstTokenTargetMs * QUEUE_PART;
  }

  get hasPlace(): boolean {
    return this.running.size < this.limit.value;
  }

  /**
   * The queued offer whose turn it is. The last places are kept for accounts
   * that have nothing running.
   */
  popFair(): QueuedOffer | undefined {
    const next = this.fair.peek();
    if (!next) return undefined;
    const kept = Math.floor(this.limit.value * KEPT_PART);
    const isLast = this.running.size >= this.limit.value - kept;
    const isRunning = this.runningByAccount.has(next.offer.account);
    return isLast && isRunning ? undefined : this.fair.pop();
  }

  setSettings(settings: LengthClassSettings): void {
    this.settings = settings;
    this.limit.setTarget(settings.firstTokenTargetMs);
  }

  /** Time that the queue needs to free one place, in milliseconds. */
  private placeMs(nowMs: number): number {
    return this.hold.meanMs(nowMs) / this.limit.value;
  }

  /** Expected time in the queue of a new offer of the account. */
  waitMs(account: string, share: number, nowMs: number): number {
    if (this.hasPlace && this.fair.size === 0) return 0;
    if (this.hasPlace && !this.runningByAccount.has(account)) return 0;
    const ahead = this.fair.countAhead(account, share);
    const margin = this.fair.hasQueued(account) ? WAIT_MARGIN : 1;
    return (ahead + 1) * this.placeMs(nowMs) * margin;
  }

  /** When a caller that is refused now should come back. */
  retryAfterMs(nowMs: number): number {
    const placeMs = this.placeMs(nowMs);
    const waitMs = this.fair.size * placeMs;
    return this.pacer.retryAfterMs(waitMs, placeMs / RETURN_PART, nowMs);
  }

  /** Whether batch work may use a place now. */
  hasSlack(nowMs: number): boolean {
    return (
      this.fair.size === 0 &&
      this.limit.isRelaxed &&
      nowMs - this.busyMs >= CALM_MS &&
      this.running.size < Math.max(1, this.limit.value * SLACK_PART)
    );
  }

  /** Monotonic time at which batch work has to be served without slack. */
  batchDueMs(nowMs: number): number {
    return this.batch.dueAtMs(this.hold.highMs(nowMs), this.limit.value);
  }

  /** Expected time until batch work with earlier deadlines has its places. */
  batchWaitMs(deadlineMs: number, nowMs: number): number {
    const ahead = this.batch.countBefore(deadlineMs);
    return Math.floor(ahead / this.limit.value) * this.hold.meanMs(nowMs);
  }

  admit(queued: QueuedOffer, nowMs: number): void {
    const request = {offer: queued.offer, admittedMs: nowMs};
    this.running.set(queued.offer.id, request);
    this.waiting.set(queued.offer.id, request);
    this.countRunning(queued.offer.account, 1);
    this.limit.observeRunning(this.running.size);
  }

  /** Notes that requests wait although all places are in use. */
  noteBusy(nowMs: number): void {
    this.busyMs = nowMs;
  }

  start(id: string, nowMs: number): void {
    const request = this.waiting.get(id);
    if (request) request.startedMs ??= nowMs;
  }

  takeFirstToken(id: string, nowMs: number): void {
    const request = this.waiting.get(id);
    if (!request) return;
    request.firstTokenMs = nowMs;
    this.waiting.delete(id);
    const startedMs = request.startedMs ?? request.admittedMs;
    this.limit.observe(nowMs - startedMs, this.countOverdue(nowMs), nowMs);
  }

  /** Ends an admitted request; undefined when there is none of the name. */
  end(
    id: string,
    succeeded: boolean,
    nowMs: number,
  ): RunningRequest | undefined {
    const request = this.running.get(id);
    if (!request) return undefined;
    this.running.delete(id);
    this.waiting.delete(id);
    this.countRunning(request.offer.account, -1);
    if (succeeded) this.hold.observe(nowMs - request.admittedMs, nowMs);
    return request;
  }

  private countRunning(account: string, change: number): void {
    const count = (this.runningByAccount.get(account) ?? 0) + change;
    if (count > 0) this.runningByAccount.set(account, count);
    else this.runningByAccount.delete(account);
  }

  private countOverdue(nowMs: number): number {
    let overdue = 0;
    for (const {admittedMs, startedMs} of this.waiting.values()) {
      const waitedMs = nowMs - (startedMs ?? admittedMs);
      if (waitedMs <= this.settings.firstTokenTargetMs) break;
      overdue++;
    }
    return overdue;
  }
}
