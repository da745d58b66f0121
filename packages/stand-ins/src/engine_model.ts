import type {Decision} from '@parsleywood/types';
import type {CacheEvent} from './cache_event.js';
import {CacheEventLog} from './cache_event_log.js';
import {createStream} from './create_stream.js';
import type {EngineAction} from './engine_action.js';
import {EngineActionKind} from './engine_action_kind.js';
import type {EngineEvent} from './engine_event.js';
import {EngineEventKind} from './engine_event_kind.js';
import {EngineMemory} from './engine_memory.js';
import type {EngineOptions} from './engine_options.js';
import {EngineRefusal} from './engine_refusal.js';
import type {EngineStream} from './engine_stream.js';
import type {EngineSubmission} from './engine_submission.js';
import type {LoadReport} from './load_report.js';
import {LoadReporter} from './load_reporter.js';
import {planStep} from './plan_step.js';
import {PrefixCache} from './prefix_cache.js';
import {StreamBatch} from './stream_batch.js';
import {StreamMemory} from './stream_memory.js';

/**
 * A model engine on virtual time: continuous batching with chunked prefill,
 * priorities and a prefix cache. A step computes at most one chunk of prompts
 * and one token of each stream whose prompt is done.
 */
export class EngineModel implements Decision<EngineEvent, EngineAction> {
  /** Memory, with its reservations and exports. */
  readonly memory: EngineMemory;
  /** Models that can be asked; any when empty. */
  readonly models = new Set<string>();
  /** Whether new attempts are refused. */
  leaving = false;
  /** Multiplies the time of each step. */
  slowFactor = 1;

  private readonly streamMemory: StreamMemory;
  private readonly batch: StreamBatch;
  private readonly reporter: LoadReporter;
  private readonly events: CacheEventLog;
  private readonly streams = new Map<string, EngineStream>();
  private arrivals = 0;
  private nowMs = 0;
  private stepEndsMs = Infinity;
  private frozenUntilMs = 0;
  private deadlineMs = Infinity;

  constructor(private readonly options: EngineOptions) {
    this.events = new CacheEventLog(options);
    const cache = new PrefixCache((kind, hash) =>
      this.events.append(kind, hash, this.nowMs),
    );
    const {memoryTokens, blockTokens} = options;
    this.memory = new EngineMemory(memoryTokens, blockTokens, cache);
    this.streamMemory = new StreamMemory(blockTokens, this.memory, cache);
    this.batch = new StreamBatch(options.maxRunning, this.streamMemory);
    this.reporter = new LoadReporter(options.loadIntervalMs, () =>
      this.measureLoad(),
    );
  }

  handle(event: EngineEvent, nowMs: number): EngineAction[] {
    const actions: EngineAction[] = [];
    this.advance(nowMs, actions);
    switch (event.kind) {
      case EngineEventKind.SUBMIT:
        this.submit(event.submission, actions);
        break;
      case EngineEventKind.CANCEL:
        this.end(this.streams.get(event.attempt));
        break;
      case EngineEventKind.SET_PRIORITY:
        this.setPriority(event.attempt, event.priority);
        break;
      case EngineEventKind.WAKE:
        break;
    }
    if (!this.isFrozen() && this.stepEndsMs === Infinity) this.beginStep();
    return actions;
  }

  wakeAtMs(): number {
    const frozen = this.isFrozen() && this.streams.size > 0;
    if (frozen) return this.frozenUntilMs;
    return Math.min(
      this.stepEndsMs,
      this.deadlineMs,
      this.memory.expiresAtMs(),
    );
  }

  /** Stops all work until a time, in milliseconds. */
  freeze(untilMs: number): void {
    this.frozenUntilMs = untilMs;
  }

  /** Whether the attempt is waiting or running. */
  has(attempt: string): boolean {
    return this.streams.has(attempt);
  }

  /** Lists the attempts that are waiting or running. */
  listStreams(): EngineStream[] {
    return [...this.streams.values()];
  }

  /** The last load report; up to one report interval old. */
  load(nowMs: number): LoadReport {
    return this.reporter.read(nowMs);
  }

  /** Lists the visible cache events after a sequence number. */
  cacheEvents(afterSequence: number, nowMs: number): CacheEvent[] {
    return this.events.readAfter(afterSequence, nowMs);
  }

  /** Holds a copy of an attempt's computed blocks until it is deleted. */
  exportStream(attempt: string): boolean {
    const stream = this.streams.get(attempt);
    return stream !== undefined && this.streamMemory.exportBlocks(stream);
  }

  /** Stores blocks computed elsewhere; false without room. */
  importBlocks(blocks: readonly string[]): boolean {
    return this.streamMemory.importBlocks(blocks);
  }

  private submit(submission: EngineSubmission, actions: EngineAction[]): void {
    const refusal = this.findRefusal(submission);
    const {attempt} = submission;
    if (refusal) {
      actions.push({kind: EngineActionKind.REFUSE, attempt, refusal});
      return;
    }
    const stream = createStream(submission, this.arrivals++, this.nowMs);
    this.streams.set(attempt, stream);
    this.batch.add(stream);
    this.deadlineMs = Math.min(this.deadlineMs, stream.deadlineMs);
    if (submission.reservation) this.memory.beginUse(submission.reservation);
  }

  private findRefusal(submission: EngineSubmission): EngineRefusal | undefined {
    const {attempt, model, reservation} = submission;
    if (this.models.size > 0 && !this.models.has(model)) {
      return EngineRefusal.MODEL_NOT_LOADED;
    }
    if (this.streams.has(attempt)) return EngineRefusal.DUPLICATE_ATTEMPT;
    if (reservation && !this.memory.readReservation(reservation)) {
      return EngineRefusal.UNKNOWN_RESERVATION;
    }
    if (
      this.streamMemory.countLocalTokens(submission) > this.options.memoryTokens
    ) {
      return EngineRefusal.LARGER_THAN_MEMORY;
    }
    if (this.leaving) return EngineRefusal.LEAVING;
    const full = this.batch.waitingSize >= this.options.maxWaiting;
    return full ? EngineRefusal.FULL : undefined;
  }

  private setPriority(attempt: string, priority: number): void {
    const stream = this.streams.get(attempt);
    if (stream) this.batch.setPriority(stream, priority);
  }

  private advance(nowMs: number, actions: EngineAction[]): void {
    if (nowMs < this.frozenUntilMs) {
      this.nowMs = nowMs;
      return;
    }
    this.stepEndsMs = Math.max(this.stepEndsMs, this.frozenUntilMs);
    this.frozenUntilMs = 0;
    while (this.stepEndsMs <= nowMs) {
      this.nowMs = this.stepEndsMs;
      this.endStep(actions);
      this.expire(actions);
      this.beginStep();
    }
    this.nowMs = Math.max(this.nowMs, nowMs);
    this.expire(actions);
  }

  private isFrozen(): boolean {
    return this.frozenUntilMs > 0;
  }

  private beginStep(): void {
    this.batch.startWaiting();
    this.stepEndsMs = Infinity;
    if (this.batch.runningSize === 0) return;
    const stepMs = planStep(this.batch.listRunning(), this.options);
    this.stepEndsMs = this.nowMs + stepMs * this.slowFactor;
    this.reporter.renew(this.nowMs);
  }

  private endStep(actions: EngineAction[]): void {
    for (const stream of [...this.batch.listRunning()]) {
      if (stream.prefillLeft > 0) {
        if (stream.chunk === 0) continue;
        stream.prefillLeft -= stream.chunk;
        this.streamMemory.storeBlocks(stream);
        if (stream.prefillLeft > 0) continue;
      }
      this.emit(stream, actions);
    }
  }

  private emit(stream: EngineStream, actions: EngineAction[]): void {
    const {attempt, answerTokens, finish, promptTokens} = stream.submission;
    const atMs = this.nowMs;
    if (stream.position < answerTokens) {
      const position = stream.position++;
      actions.push({kind: EngineActionKind.TOKEN, attempt, position, atMs});
    }
    if (stream.position < answerTokens) return;
    this.end(stream);
    const {cachedTokens, position} = stream;
    const usage = {promptTokens, completionTokens: position, cachedTokens};
    const kind = EngineActionKind.FINISH;
    actions.push({kind, attempt, position, finish, usage, atMs});
  }

  private end(stream: EngineStream | undefined): void {
    if (!stream) return;
    this.streams.delete(stream.submission.attempt);
    this.batch.remove(stream);
    this.streamMemory.release(stream, this.nowMs);
  }

  private expire(actions: EngineAction[]): void {
    this.memory.expire(this.nowMs);
    if (this.nowMs < this.deadlineMs) return;
    this.deadlineMs = Infinity;
    for (const stream of [...this.streams.values()]) {
      if (stream.deadlineMs > this.nowMs) {
        this.deadlineMs = Math.min(this.deadlineMs, stream.deadlineMs);
        continue;
      }
      this.end(stream);
      const {attempt} = stream.submission;
      actions.push({kind: EngineActionKind.EXPIRE, attempt});
    }
  }

  private measureLoad(): Omit<LoadReport, 'sequence' | 'atMs'> {
    let waitingTokens = 0;
    for (const {prefillLeft} of this.streams.values()) {
      waitingTokens += prefillLeft;
    }
    return {
      memoryTokens: this.options.memoryTokens,
      usedTokens: this.memory.usedTokens,
      cachedTokens: this.memory.cachedTokens,
      running: this.batch.runningSize,
      waiting: this.batch.waitingSize,
      waitingTokens,
    };
  }
}
