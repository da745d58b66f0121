import {PassModel} from '@parsleywood/dispatch';
import type {VirtualTime} from '@parsleywood/types/testing';
import type {EngineJob} from './engine_job.js';
import type {PromptPart} from './prompt_part.js';

/** Requests that may wait for each slot of an engine. */
const QUEUE_PER_SLOT = 2;

/**
 * An engine that works in passes: a pass with writers runs all its token steps and
 * reads up to a chunk for each; without writers it reads one chunk. Parts of prompts
 * that several engines read go first, the newest before the others.
 */
export class EngineModel {
  private readonly parts: PromptPart[] = [];
  private readonly writers = new Set<EngineJob>();
  /** Read jobs that begin to write with the next pass. */
  private readonly ready = new Set<EngineJob>();
  private readonly held = new Map<EngineJob, number>();
  private readonly own = new Set<EngineJob>();
  /** Requests that wait for a slot, in the order of their arrival. */
  private readonly queue: PromptPart[] = [];
  private isWorking = false;
  private isDown = false;
  private slowFactor = 1;
  private slowUntilMs = 0;

  constructor(
    private readonly model: PassModel,
    private readonly time: VirtualTime,
  ) {}

  get isUp(): boolean {
    return !this.isDown;
  }

  /** Whether the engine would take another request of this size. */
  hasRoom(tokens: number): boolean {
    const {slots, memoryTokens} = this.model.profile;
    const taken = [...this.held.values()].reduce((sum, one) => sum + one, 0);
    const waiting = this.queue.length;
    return (
      this.isUp &&
      waiting < QUEUE_PER_SLOT * slots &&
      (waiting > 0 || this.own.size >= slots || taken + tokens <= memoryTokens)
    );
  }

  /**
   * Takes a part to read.
   *
   * @param answers Whether this engine answers the request.
   */
  read(part: PromptPart, answers: boolean): void {
    const {job, heldTokens} = part;
    if (answers && this.own.size >= this.model.profile.slots) {
      this.queue.push(part);
      return;
    }
    if (answers) this.own.add(job);
    this.parts.push(part);
    this.held.set(job, heldTokens + (answers ? job.answerTokens : 0));
    this.work();
  }

  /** All parts of a job that this engine answers are read. */
  startWriting(job: EngineJob): void {
    this.ready.add(job);
    this.work();
  }

  /** Lets go of a job that is over. */
  drop(job: EngineJob): void {
    this.own.delete(job);
    this.writers.delete(job);
    this.ready.delete(job);
    this.held.delete(job);
    for (const list of [this.parts, this.queue]) {
      const at = list.findIndex(part => part.job === job);
      if (at >= 0) list.splice(at, 1);
    }
    const hasSlot = this.own.size < this.model.profile.slots;
    const next = hasSlot ? this.queue.shift() : undefined;
    if (next !== undefined) this.read(next, true);
  }

  /** Ends with all that it holds; back after a time. */
  crash(forMs: number): void {
    this.isDown = true;
    const lost = new Set([
      ...this.own,
      ...this.held.keys(),
      ...[...this.parts, ...this.queue].map(({job}) => job),
    ]);
    for (const job of lost) if (!job.isOver) job.onEnd(false);
    this.time.after(forMs, () => {
      this.isDown = false;
    });
  }

  /** Makes passes take longer for a time. */
  slowDown(factor: number, forMs: number): void {
    this.slowFactor = factor;
    this.slowUntilMs = this.time.nowMs + forMs;
  }

  private work(): void {
    if (this.isWorking) return;
    if (this.parts.length + this.writers.size + this.ready.size === 0) return;
    this.isWorking = true;
    this.time.after(0, () => {
      this.startPass();
    });
  }

  private startPass(): void {
    for (const job of this.ready) this.writers.add(job);
    this.ready.clear();
    const writing = [...this.writers];
    const {chunkTokens} = this.model.profile;
    const most =
      writing.length > 0 ? this.model.maxPrefillTokensPerPass : chunkTokens;
    const {prefillMs, read} = this.readSome(most);
    const context = writing.reduce(
      (sum, job) => sum + job.promptTokens + job.writtenTokens,
      0,
    );
    const writeMs =
      writing.length > 0 ? this.model.passMs(writing.length, context) : 0;
    const isSlow = this.time.nowMs < this.slowUntilMs;
    const passMs = (isSlow ? this.slowFactor : 1) * (prefillMs + writeMs);
    this.time.after(passMs, () => {
      this.endPass(writing, read);
    });
  }

  /** Reads tokens of the parts in their order; tells which parts are read. */
  private readSome(most: number): {prefillMs: number; read: PromptPart[]} {
    let left = most;
    let prefillMs = 0;
    const read: PromptPart[] = [];
    for (const part of this.order()) {
      if (left <= 0) break;
      const tokens = Math.min(left, part.leftTokens);
      const pairs = (part.millionPairs * tokens) / part.tokens;
      prefillMs += this.model.estimatePrefillMs(tokens, pairs);
      left -= tokens;
      part.leftTokens -= tokens;
      if (part.leftTokens <= 0) read.push(part);
    }
    return {prefillMs, read};
  }

  private order(): PromptPart[] {
    const ahead = this.parts.filter(({isAhead}) => isAhead).reverse();
    return [...ahead, ...this.parts.filter(({isAhead}) => !isAhead)];
  }

  private endPass(
    writing: readonly EngineJob[],
    read: readonly PromptPart[],
  ): void {
    this.isWorking = false;
    const {stepsPerPass} = this.model.profile;
    for (const job of writing) if (!job.isOver) write(job, stepsPerPass);
    for (const part of read) {
      const at = this.parts.indexOf(part);
      if (at >= 0) this.parts.splice(at, 1);
      const {job} = part;
      if (job.isOver) continue;
      job.unreadParts--;
      part.onRead();
      if (part.isAhead) continue;
      // What is read within a pass begins to write in that pass.
      this.writers.add(job);
      write(job, stepsPerPass);
    }
    this.work();
  }
}

function write(job: EngineJob, tokens: number): void {
  job.writtenTokens += tokens;
  job.onEvent();
  if (job.writtenTokens >= job.answerTokens) job.onEnd(true);
}
