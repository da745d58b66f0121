import type {Decision} from '@parsleywood/types';
import type {CacheEvent} from './cache_event.js';
import {CacheEventLog} from './cache_event_log.js';
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
import {PrefixCache} from './prefix_cache.js';
import {StreamQueue} from './stream_queue.js';

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

  private readonly cache: PrefixCache;
  private readonly events: CacheEventLog;
  private readonly streams = new Map<string, EngineStream>();
  private readonly running = new StreamQueue();
  private readonly waiting = new StreamQueue();
  private arrivals = 0;
  private nowMs = 0;
  private stepEndsMs = Infinity;
  private frozenUntilMs = 0;
  private deadlineMs = Infinity;
  private report: LoadReport;

  constructor(private readonly options: EngineOptions) {
    this.events = new CacheEventLog(options);
    this.cache = new PrefixCache((kind, hash) =>
      this.events.append(kind, hash, this.nowMs),
    );
    const {memoryTokens, blockTokens} = options;
    this.memory = new EngineMemory(memoryTokens, blockTokens, this.cache);
    this.report = this.makeReport(0, -Infinity);
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
    const wakeMs = Math.min(
      this.stepEndsMs,
      this.deadlineMs,
      this.memory.expiresAtMs(),
    );
    return Math.max(wakeMs, this.frozenUntilMs);
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
    this.renewReport(nowMs);
    return this.report;
  }

  /** Lists the visible cache events after a sequence number. */
  cacheEvents(afterSequence: number, nowMs: number): CacheEvent[] {
    return this.events.readAfter(afterSequence, nowMs);
  }

  /** Holds a copy of an attempt's computed blocks until it is deleted. */
  exportStream(attempt: string): boolean {
    const stream = this.streams.get(attempt);
    if (!stream) return false;
    const {blocks, owner} = stream.submission;
    const computed = blocks.slice(0, stream.pinnedBlocks);
    const tokens = computed.length * this.options.blockTokens;
    const kvExport = {id: attempt, owner, tokens, blocks: computed};
    return this.memory.addExport(kvExport);
  }

  /** Stores blocks computed elsewhere; false without room. */
  importBlocks(blocks: readonly string[]): boolean {
    const missing = blocks.slice(this.cache.match(blocks));
    const {blockTokens} = this.options;
    if (!this.memory.makeRoom(missing.length * blockTokens)) return false;
    for (const hash of missing.reverse()) this.cache.store(hash);
    return true;
  }

  private submit(submission: EngineSubmission, actions: EngineAction[]): void {
    const refusal = this.findRefusal(submission);
    const {attempt, limitMs, priority, resumeFrom} = submission;
    if (refusal) {
      actions.push({kind: EngineActionKind.REFUSE, attempt, refusal});
      return;
    }
    const deadlineMs = this.nowMs + limitMs;
    const stream: EngineStream = {
      submission,
      arrival: this.arrivals++,
      deadlineMs,
      priority,
      position: resumeFrom,
      prefillLeft: submission.promptTokens + resumeFrom,
      chunk: 0,
      pinnedBlocks: 0,
      cachedTokens: 0,
      privateTokens: 0,
    };
    this.streams.set(attempt, stream);
    this.waiting.add(stream);
    this.deadlineMs = Math.min(this.deadlineMs, deadlineMs);
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
    if (this.localTokens(submission) > this.options.memoryTokens) {
      return EngineRefusal.LARGER_THAN_MEMORY;
    }
    if (this.leaving) return EngineRefusal.LEAVING;
    const full = this.waiting.size >= this.options.maxWaiting;
    return full ? EngineRefusal.FULL : undefined;
  }

  private localTokens(submission: EngineSubmission): number {
    const {promptTokens, answerTokens, remoteTokens = 0} = submission;
    return Math.max(0, promptTokens + answerTokens - remoteTokens);
  }

  private setPriority(attempt: string, priority: number): void {
    const stream = this.streams.get(attempt);
    if (!stream) return;
    const queue = this.waiting.remove(stream) ? this.waiting : this.running;
    queue.remove(stream);
    stream.priority = priority;
    queue.add(stream);
  }

  private advance(nowMs: number, actions: EngineAction[]): void {
    if (nowMs < this.frozenUntilMs) return;
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
    this.startWaiting();
    this.stepEndsMs = Infinity;
    if (this.running.size === 0) return;
    let budget = this.options.chunkTokens;
    let decodes = 0;
    for (const stream of this.running.list()) {
      stream.chunk = Math.min(budget, stream.prefillLeft);
      budget -= stream.chunk;
      if (stream.prefillLeft === 0) decodes++;
    }
    const {chunkTokens, prefillTokensPerSecond, decodeTokensPerSecond} =
      this.options;
    const seconds =
      (chunkTokens - budget) / prefillTokensPerSecond +
      decodes / decodeTokensPerSecond;
    const stepMs = this.options.stepOverheadMs + seconds * 1000;
    this.stepEndsMs = this.nowMs + stepMs * this.slowFactor;
    this.renewReport(this.nowMs);
  }

  private startWaiting(): void {
    while (this.running.size < this.options.maxRunning) {
      const stream = this.waiting.first();
      if (!stream || !this.allocate(stream)) return;
      this.waiting.remove(stream);
      this.running.add(stream);
    }
  }

  private allocate(stream: EngineStream): boolean {
    const {blocks, reservation = ''} = stream.submission;
    const {blockTokens} = this.options;
    const reserved = this.memory.readReservation(reservation)?.tokens ?? 0;
    const needed = this.localTokens(stream.submission) - reserved;
    const matched = this.cache.match(blocks);
    for (const hash of blocks.slice(0, matched)) this.cache.pin(hash);
    stream.pinnedBlocks = matched;
    const tokens = Math.max(0, needed - matched * blockTokens);
    if (!this.memory.take(tokens)) {
      this.unpin(stream);
      return false;
    }
    stream.privateTokens = tokens;
    stream.cachedTokens = matched * blockTokens;
    // The last token is always computed, for its successor depends on it.
    stream.prefillLeft = Math.max(1, stream.prefillLeft - stream.cachedTokens);
    return true;
  }

  private endStep(actions: EngineAction[]): void {
    for (const stream of [...this.running.list()]) {
      if (stream.prefillLeft > 0) {
        if (stream.chunk === 0) continue;
        stream.prefillLeft -= stream.chunk;
        this.storeBlocks(stream);
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

  private storeBlocks(stream: EngineStream): void {
    const {blocks, promptTokens, resumeFrom} = stream.submission;
    const {blockTokens} = this.options;
    const computed = promptTokens + resumeFrom - stream.prefillLeft;
    const full = Math.min(blocks.length, Math.floor(computed / blockTokens));
    for (const hash of blocks.slice(stream.pinnedBlocks, full)) {
      if (stream.privateTokens < blockTokens) return;
      this.cache.pin(hash);
      this.memory.give(blockTokens);
      stream.privateTokens -= blockTokens;
      stream.pinnedBlocks++;
    }
  }

  private end(stream: EngineStream | undefined): void {
    if (!stream) return;
    const {attempt, reservation} = stream.submission;
    this.streams.delete(attempt);
    if (!this.waiting.remove(stream)) this.running.remove(stream);
    this.unpin(stream);
    this.memory.give(stream.privateTokens);
    if (reservation) this.memory.endUse(reservation, this.nowMs);
  }

  /** Lets the deepest blocks go first, for a block needs those before it. */
  private unpin(stream: EngineStream): void {
    const held = stream.submission.blocks.slice(0, stream.pinnedBlocks);
    for (const hash of held.reverse()) this.cache.unpin(hash);
    stream.pinnedBlocks = 0;
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

  private renewReport(nowMs: number): void {
    if (nowMs - this.report.atMs < this.options.loadIntervalMs) return;
    this.report = this.makeReport(this.report.sequence + 1, nowMs);
  }

  private makeReport(sequence: number, atMs: number): LoadReport {
    let waitingTokens = 0;
    for (const {prefillLeft} of this.streams.values()) {
      waitingTokens += prefillLeft;
    }
    return {
      sequence,
      atMs,
      memoryTokens: this.options.memoryTokens,
      usedTokens: this.memory.usedTokens,
      cachedTokens: this.memory.cachedTokens,
      running: this.running.size,
      waiting: this.waiting.size,
      waitingTokens,
    };
  }
}
