import type {LengthClassSettings} from '@parsleywood/schema/settings';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {BatchQueue} from './batch_queue.js';
import {FairQueue} from './fair_queue.js';
import {AdaptiveLimit} from './adaptive_limit.js';
import {HoldTimeEstimate} from './hold_time_estimate.js';
import type {QueuedRequest} from './queued_request.js';
import {RetryPacer} from './retry_pacer.js';
import type {RunningRequest} from './running_request.js';

/**
 * Prompt tokens that one host may send to engines initially, by length class.
 * Divided by the longest prompt of the class, this gives the initial limit.
 */
const INITIAL_PROMPT_TOKENS = 512 * 1024;
const MIN_INITIAL_LIMIT = 2;
const MAX_INITIAL_LIMIT = 64;
/** Maximum time in the queue, as a fraction of the first-token target. */
const MAX_QUEUE_FRACTION = 0.5;
/**
 * Multiplies the estimated wait of an account that already has queued requests,
 * so that few requests expire in the queue.
 */
const WAIT_SAFETY_FACTOR = 5;
/**
 * Rate at which refused callers are told to retry, as a fraction of the rate at
 * which slots become free.
 */
const RETRY_RATE_FRACTION = 0.1;
/** Fraction of the slots reserved for accounts that have no running request. */
const RESERVED_FRACTION = 0.1;
/** Batch work may start only while less than this fraction of the slots is in use. */
const MAX_BATCH_FRACTION = 0.7;
/** Batch work waits for this long after the lane was last saturated. */
const BATCH_COOLDOWN_MS = 2000;

/**
 * Queues, concurrency slots and measured times of one model and length class.
 * An admitted request holds one slot until it ends; its hold time is measured.
 */
export class ClassLane {
  readonly fairQueue = new FairQueue();
  readonly batchQueue = new BatchQueue();
  readonly limit: AdaptiveLimit;
  readonly holdTime: HoldTimeEstimate;
  private readonly pacer: RetryPacer;
  private readonly running = new Map<string, RunningRequest>();
  /** Admitted requests that have no first token yet, oldest first. */
  private readonly awaitingFirstToken = new Map<string, RunningRequest>();
  private readonly runningByAccount = new Map<string, number>();
  private lastSaturatedMs = -Infinity;

  constructor(
    private settings: LengthClassSettings,
    random: RandomGenerator,
  ) {
    const initial = Math.floor(INITIAL_PROMPT_TOKENS / settings.upToTokens);
    this.limit = new AdaptiveLimit(
      Math.min(MAX_INITIAL_LIMIT, Math.max(MIN_INITIAL_LIMIT, initial)),
      settings.firstTokenTargetMs,
    );
    this.holdTime = new HoldTimeEstimate(settings.firstTokenTargetMs / 2);
    this.pacer = new RetryPacer(random);
  }

  /** Maximum time in the queue for a request that is not batch work. */
  get maxWaitMs(): number {
    return this.settings.firstTokenTargetMs * MAX_QUEUE_FRACTION;
  }

  get hasFreeSlot(): boolean {
    return this.running.size < this.limit.value;
  }

  /**
   * Removes and returns the next request of the fair queue. Returns undefined
   * when there is none, or when only reserved slots are free and the account of
   * the next request already has one running.
   */
  popFair(): QueuedRequest | undefined {
    const next = this.fairQueue.peek();
    if (!next) return undefined;
    const reserved = Math.floor(this.limit.value * RESERVED_FRACTION);
    const isReservedSlot = this.running.size >= this.limit.value - reserved;
    const hasRunning = this.runningByAccount.has(next.request.account);
    return isReservedSlot && hasRunning ? undefined : this.fairQueue.pop();
  }

  setSettings(settings: LengthClassSettings): void {
    this.settings = settings;
    this.limit.setTarget(settings.firstTokenTargetMs);
  }

  /** Expected time between two slots becoming free, in milliseconds. */
  private getSlotIntervalMs(nowMs: number): number {
    return this.holdTime.getMeanMs(nowMs) / this.limit.value;
  }

  /** Estimates the time in the queue of a new request of the account. */
  estimateWaitMs(account: string, weight: number, nowMs: number): number {
    if (this.hasFreeSlot && this.fairQueue.size === 0) return 0;
    if (this.hasFreeSlot && !this.runningByAccount.has(account)) return 0;
    const ahead = this.fairQueue.countAhead(account, weight);
    const safetyFactor = this.fairQueue.hasQueued(account)
      ? WAIT_SAFETY_FACTOR
      : 1;
    return (ahead + 1) * this.getSlotIntervalMs(nowMs) * safetyFactor;
  }

  /** Returns the time in milliseconds after which a caller refused now should retry. */
  scheduleRetry(nowMs: number): number {
    const slotIntervalMs = this.getSlotIntervalMs(nowMs);
    const waitMs = this.fairQueue.size * slotIntervalMs;
    return this.pacer.scheduleRetry(
      waitMs,
      slotIntervalMs / RETRY_RATE_FRACTION,
      nowMs,
    );
  }

  /** Whether a batch request may start now. */
  hasBatchCapacity(nowMs: number): boolean {
    return (
      this.fairQueue.size === 0 &&
      this.limit.hasHeadroom &&
      nowMs - this.lastSaturatedMs >= BATCH_COOLDOWN_MS &&
      this.running.size < Math.max(1, this.limit.value * MAX_BATCH_FRACTION)
    );
  }

  /** Monotonic time at which batch work has to start even without spare capacity. */
  getBatchDueMs(nowMs: number): number {
    return this.batchQueue.getDueAtMs(
      this.holdTime.getHighMs(nowMs),
      this.limit.value,
    );
  }

  /** Estimates the time until batch requests with earlier deadlines have slots. */
  estimateBatchWaitMs(deadlineMs: number, nowMs: number): number {
    const rank = this.batchQueue.countBefore(deadlineMs);
    return Math.floor(rank / this.limit.value) * this.holdTime.getMeanMs(nowMs);
  }

  admit(queued: QueuedRequest, nowMs: number): void {
    const running = {request: queued.request, admittedMs: nowMs};
    this.running.set(queued.request.id, running);
    this.awaitingFirstToken.set(queued.request.id, running);
    this.countRunning(queued.request.account, 1);
    this.limit.observeRunning(this.running.size);
  }

  /**
   * Records that a request had to wait in this lane or was refused by it, which
   * delays batch work.
   */
  markSaturated(nowMs: number): void {
    this.lastSaturatedMs = nowMs;
  }

  markStarted(id: string, nowMs: number): void {
    const running = this.awaitingFirstToken.get(id);
    if (running) running.startedMs ??= nowMs;
  }

  recordFirstToken(id: string, nowMs: number): void {
    const running = this.awaitingFirstToken.get(id);
    if (!running) return;
    running.firstTokenMs = nowMs;
    this.awaitingFirstToken.delete(id);
    const startedMs = running.startedMs ?? running.admittedMs;
    this.limit.observe(nowMs - startedMs, this.countOverdue(nowMs), nowMs);
  }

  /** Removes an admitted request; undefined when none has this id. */
  finish(
    id: string,
    succeeded: boolean,
    nowMs: number,
  ): RunningRequest | undefined {
    const running = this.running.get(id);
    if (!running) return undefined;
    this.running.delete(id);
    this.awaitingFirstToken.delete(id);
    this.countRunning(running.request.account, -1);
    if (succeeded) this.holdTime.observe(nowMs - running.admittedMs, nowMs);
    return running;
  }

  private countRunning(account: string, change: number): void {
    const count = (this.runningByAccount.get(account) ?? 0) + change;
    if (count > 0) this.runningByAccount.set(account, count);
    else this.runningByAccount.delete(account);
  }

  private countOverdue(nowMs: number): number {
    let overdue = 0;
    for (const {admittedMs, startedMs} of this.awaitingFirstToken.values()) {
      const waitedMs = nowMs - (startedMs ?? admittedMs);
      if (waitedMs <= this.settings.firstTokenTargetMs) break;
      overdue++;
    }
    return overdue;
  }
}
