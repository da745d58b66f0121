import {PassMeter, type PlacementPart} from '@parsleywood/dispatch';
import {
  attemptTimeouts,
  chooseRetryAfterMs,
  type Service,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import type {LoadPattern} from '@parsleywood/schema/load_pattern';
import type {VirtualTime} from '@parsleywood/types/testing';
import type {EngineJob} from './engine_job.js';
import type {EngineModel} from './engine_model.js';
import type {HostModel} from './host_model.js';
import {RequestOutcome} from './request_outcome.js';
import type {RequestResult} from './request_result.js';

type Kind = LoadPattern['kinds'][number];

/** Callers come back once, within a third of the time that they have left. */
const RETURN_PART = 1 / 3;
/** Attempts beyond the first one after engines refused or crashed. */
const MAX_ATTEMPTS = 3;

/** What all requests of a run share. */
interface World {
  readonly time: VirtualTime;
  readonly hosts: readonly HostModel[];
  readonly engines: ReadonlyMap<string, EngineModel>;
  readonly entries: readonly UpstreamEntry[];
  readonly service: Service;
  readonly newsDelayMs: number;
  /** Whether hosts measure the pass times of answers. */
  readonly measuresPasses: boolean;
  readonly draw: () => number;
  readonly record: (result: RequestResult) => void;
}

/** One request from its arrival to its end, with its return after a refusal. */
export class EmulatedRequest {
  private readonly arrivedAtMs: number;
  private readonly tried = new Set<string>();
  private host: HostModel;
  private job: EngineJob | undefined;
  private touched: EngineModel[] = [];
  private attempts = 0;
  private writtenTokens = 0;
  private hasReturned: boolean;
  private isOver = false;
  /** The attempt whose first event was told. */
  private writing = '';
  private firstMs: number | undefined;
  private lastEventMs = 0;
  private longestPauseMs = 0;
  private upstream = '';
  private passMeter = new PassMeter();

  /** @param returns Whether the caller comes back after a refusal. */
  constructor(
    private readonly world: World,
    private readonly id: string,
    private readonly kind: Kind,
    private readonly promptTokens: number,
    private readonly answerTokens: number,
    returns: boolean,
  ) {
    this.arrivedAtMs = world.time.nowMs;
    this.hasReturned = !returns;
    this.host = this.drawHost();
  }

  start(): void {
    const {time} = this.world;
    time.after(this.kind.deadlineMs, () => {
      this.end(RequestOutcome.FAILED);
    });
    time.after(this.getCallerTimeoutMs(), () => {
      if (this.firstMs === undefined) this.end(RequestOutcome.FAILED);
    });
    this.place();
  }

  private place(): void {
    const {time, entries, service} = this.world;
    const nowMs = time.nowMs;
    const waitedMs = nowMs - this.arrivedAtMs;
    this.host.advance(nowMs);
    const candidates = this.host.chooser.listCandidates(
      entries,
      this.tried,
      nowMs,
    );
    const demand = {
      promptTokens: this.promptTokens,
      answerTokens: this.answerTokens,
      objectiveMs: this.kind.objectiveMs - waitedMs,
      callerTimeoutMs:
        Math.min(this.getCallerTimeoutMs(), this.kind.deadlineMs) - waitedMs,
    };
    const choice = this.host.policy.choose(candidates, service, demand, nowMs);
    if ('plan' in choice && choice.plan) {
      this.send(choice.upstream.id, choice.plan.parts);
    } else if ('waitMs' in choice) {
      this.refuse(choice.waitMs);
    }
  }

  private send(upstream: string, parts: readonly PlacementPart[]): void {
    const {time, engines} = this.world;
    const name = `${this.id}/${this.attempts++}`;
    const job: EngineJob = {
      id: name,
      promptTokens: this.promptTokens,
      answerTokens: this.answerTokens,
      writtenTokens: this.writtenTokens,
      unreadParts: parts.length,
      isOver: false,
      onEvent: () => {
        this.takeEvent(name, job);
      },
      onEnd: isWhole => {
        this.endAttempt(name, job, isWhole);
      },
    };
    this.job = job;
    this.tried.add(upstream);
    this.upstream = upstream;
    const placement = {
      id: name,
      host: '',
      upstream,
      promptTokens: this.promptTokens,
      answerTokens: this.answerTokens,
      objectiveMs: this.kind.objectiveMs,
      pauseObjectiveMs: this.kind.pauseObjectiveMs,
      parts,
    };
    this.tell(host => {
      host.add(placement, time.nowMs);
    });
    const first = engines.get(upstream);
    const [own] = parts;
    const kept = (own?.heldTokens ?? 0) + this.answerTokens;
    const down = parts.filter(part => !engines.get(part.upstream)?.isUp);
    for (const part of down) this.tellFailure(part.upstream);
    if (down.length > 0 || !first?.hasRoom(kept)) {
      this.endAttempt(name, job, false);
      return;
    }
    this.read(job, parts, first);
  }

  private read(
    job: EngineJob,
    parts: readonly PlacementPart[],
    first: EngineModel,
  ): void {
    const {engines} = this.world;
    const isAhead = parts.length > 1;
    this.touched = parts.flatMap(part => engines.get(part.upstream) ?? []);
    for (const [at, part] of parts.entries()) {
      const {tokens, millionPairs, heldTokens} = part;
      engines.get(part.upstream)?.read(
        {
          job,
          isAhead,
          tokens,
          millionPairs,
          heldTokens,
          leftTokens: tokens,
          onRead: () => {
            if (isAhead && job.unreadParts === 0) first.startWriting(job);
          },
        },
        at === 0,
      );
    }
  }

  private takeEvent(name: string, job: EngineJob): void {
    if (this.isOver || this.job !== job) return;
    const {nowMs} = this.world.time;
    this.writtenTokens = job.writtenTokens;
    if (this.firstMs === undefined) {
      this.firstMs = nowMs - this.arrivedAtMs;
    } else {
      const pauseMs = nowMs - this.lastEventMs;
      this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
    }
    this.lastEventMs = nowMs;
    if (this.writing !== name) this.passMeter = new PassMeter();
    const passMs = this.passMeter.recordEvent(nowMs);
    if (this.world.measuresPasses && passMs !== undefined) {
      this.host.recordPass(this.upstream, passMs);
    }
    if (this.writing === name) return;
    this.writing = name;
    this.tell(host => {
      host.startDecode(name, this.world.time.nowMs);
    });
  }

  private endAttempt(name: string, job: EngineJob, isWhole: boolean): void {
    if (job.isOver) return;
    job.isOver = true;
    for (const engine of this.touched) engine.drop(job);
    this.touched = [];
    this.tell(host => {
      host.end(name, this.world.time.nowMs);
    });
    if (this.isOver || this.job !== job) return;
    if (isWhole) this.end(this.judge());
    else if (this.attempts < MAX_ATTEMPTS) this.place();
    else this.refuse(0);
  }

  private refuse(waitMs: number): void {
    const {time} = this.world;
    const leftMs = this.arrivedAtMs + this.kind.deadlineMs - time.nowMs;
    const retryAfterMs = chooseRetryAfterMs(waitMs);
    if (this.hasReturned || retryAfterMs > leftMs * RETURN_PART) {
      this.end(RequestOutcome.REFUSED);
      return;
    }
    this.hasReturned = true;
    time.after(retryAfterMs, () => {
      if (this.isOver) return;
      this.host = this.drawHost();
      this.tried.clear();
      this.place();
    });
  }

  private judge(): RequestOutcome {
    const {objectiveMs, pauseObjectiveMs} = this.kind;
    const isInTime =
      (this.firstMs ?? Infinity) <= objectiveMs &&
      this.longestPauseMs <= pauseObjectiveMs;
    return isInTime ? RequestOutcome.IN_TIME : RequestOutcome.LATE;
  }

  private end(outcome: RequestOutcome): void {
    if (this.isOver) return;
    this.isOver = true;
    this.world.record({
      kind: this.kind.name,
      arrivedAtMs: this.arrivedAtMs,
      promptTokens: this.promptTokens,
      answerTokens: this.answerTokens,
      outcome,
      ...(this.firstMs !== undefined && {firstMs: this.firstMs}),
      longestPauseMs: this.longestPauseMs,
    });
    if (this.job && !this.job.isOver) this.job.onEnd(false);
  }

  private getCallerTimeoutMs(): number {
    const {objectiveMs, pauseObjectiveMs} = this.kind;
    const latencyObjectiveMs = objectiveMs;
    return attemptTimeouts.getCallerTimeoutMs({
      latencyObjectiveMs,
      pauseObjectiveMs,
    });
  }

  /** Tells this host at once, and the others after the way of the news. */
  private tell(act: (host: HostModel) => void): void {
    const {hosts, time, newsDelayMs} = this.world;
    act(this.host);
    const others = hosts.filter(host => host !== this.host);
    time.after(newsDelayMs, () => {
      for (const host of others) act(host);
    });
  }

  private tellFailure(upstream: string): void {
    this.tell(host => {
      const {nowMs} = this.world.time;
      host.recordFailure(upstream, nowMs);
    });
  }

  private drawHost(): HostModel {
    const {hosts, draw} = this.world;
    const host = hosts[Math.floor(draw() * hosts.length)];
    if (host === undefined) throw new RangeError('a pattern needs a host');
    return host;
  }
}
