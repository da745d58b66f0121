import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {agePriority} from './age_priority.js';
import type {AgedPriority} from './aged_priority.js';
import {CacheIndex} from './cache_index.js';
import type {Choice} from './choice.js';
import {ChoiceKind} from './choice_kind.js';
import {ChoiceReason} from './choice_reason.js';
import type {ClassDemand} from './class_demand.js';
import {EngineFleet} from './engine_fleet.js';
import {EngineScorer} from './engine_scorer.js';
import type {Lane} from './lane.js';
import {LaneWidths} from './lane_widths.js';
import {LengthClasses} from './length_classes.js';
import {LevelPick} from './level_pick.js';
import type {ModelEngines} from './model_engines.js';
import type {RoutedRequest} from './routed_request.js';
import type {Router} from './router.js';
import type {RouterEvent} from './router_event.js';
import {RouterEventKind} from './router_event_kind.js';
import type {RouterOptions} from './router_options.js';

/** Engines whose scores differ by less count as equal, in prompt tokens. */
const NEAR_TOKENS = 128;
/** Engines weighed for one request while one of them is free. */
const MAX_WEIGHED = 256;
/** An engine with a shorter queue counts as free, in prompt tokens. */
const FREE_TOKENS = 1024;
/** Longest time for which the arrivals at the peers since a report are guessed. */
const MAX_REPORT_AGE_MS = 2000;
/** Time that an engine takes for one token of the answer. */
const ANSWER_TOKEN_MS = 20;
/** Part by which the expected time of a request is taken longer. */
const SAFETY = 1.5;

interface RunningAttempt {
  readonly upstream: string;
  readonly request: RoutedRequest;
  readonly cachedTokens: number;
}

/** Keeps short prompts clear of long prefills by lanes whose widths follow demand. */
export class LaneRouter implements Router {
  private readonly classes: LengthClasses;
  private readonly level: LevelPick;
  private readonly fleet: EngineFleet;
  private readonly widths: LaneWidths;
  private readonly cache = new CacheIndex();
  private readonly scorer: EngineScorer;
  private readonly random: RandomGenerator;
  private readonly attempts = new Map<string, RunningAttempt>();

  constructor(options: RouterOptions) {
    this.classes = new LengthClasses(options.lengthClasses);
    this.random = options.random;
    this.level = new LevelPick(options.random);
    this.scorer = new EngineScorer(name => this.fleet.position(name));
    this.fleet = new EngineFleet(
      this.classes,
      options.prefillTokensPerMs,
      options.chunkMs,
    );
    this.widths = new LaneWidths(options.host, this.classes);
  }

  choose(request: RoutedRequest, nowMs: number): Choice {
    const model = this.fleet.model(request.model);
    if (!model || model.engines.length === 0) return refuse();
    const needTokens = request.promptTokens + request.answerTokens;
    if (needTokens > model.maxMemoryTokens) {
      const {priority} = this.age(request, model, nowMs);
      return {
        kind: ChoiceKind.SPREAD,
        reason: ChoiceReason.EXCEEDS_ENGINE,
        priority,
      };
    }
    return this.chooseEngine(request, model, nowMs);
  }

  observe(event: RouterEvent, nowMs: number): void {
    switch (event.kind) {
      case RouterEventKind.UPSTREAMS:
        for (const name of this.fleet.update(event.upstreams, nowMs)) {
          this.cache.clear(name);
        }
        break;
      case RouterEventKind.LOAD_REPORT:
        this.takeReport(event, nowMs);
        break;
      case RouterEventKind.CACHE_EVENT:
        this.cache.takeEvent(event.upstream, event, nowMs);
        break;
      case RouterEventKind.ATTEMPT_STARTED:
        this.startAttempt(event, nowMs);
        break;
      case RouterEventKind.FIRST_TOKEN:
        this.takeFirstToken(event.attempt, event.cachedTokens, nowMs);
        break;
      case RouterEventKind.ATTEMPT_ENDED:
        this.endAttempt(event.attempt, nowMs);
        break;
      case RouterEventKind.AVOID:
        this.avoid(event.upstream, event.untilMs, nowMs);
        break;
      case RouterEventKind.PEER_DEMAND:
        this.widths.observePeer(event.host, event.demands, nowMs);
        break;
    }
  }

  demand(nowMs: number): ClassDemand[] {
    return this.widths.ownDemand(nowMs);
  }

  priority(request: RoutedRequest, nowMs: number): number {
    const model = this.fleet.model(request.model);
    return model ? this.age(request, model, nowMs).priority : 0;
  }

  private chooseEngine(
    request: RoutedRequest,
    model: ModelEngines,
    nowMs: number,
  ): Choice {
    const classIndex = this.classes.indexOf(request.promptTokens);
    const count = model.engines.length;
    const lane = this.widths.lane(
      request.model,
      classIndex,
      count,
      model.rate.tokensPerMs,
      nowMs,
    );
    const cached = this.cache.find(request.prefixes, nowMs);
    const homes = this.widths.homes(nowMs);
    const peerTokens =
      Math.min(model.reportAgeMs, MAX_REPORT_AGE_MS) *
      this.widths.peerTokensPerMs(request.model, classIndex, nowMs);
    const scoring = {classIndex, cached, homes, awayTokens: peerTokens / count};
    const score = (inLane: Lane, positions: Lane) =>
      this.scorer.score(
        model,
        request,
        {...scoring, lane: inLane, positions},
        nowMs,
      );
    const {shortlist} = model;
    const window = this.drawWindow(lane, count);
    score(lane, window);
    const isPart = window.end - window.start < count - lane.start;
    if (isPart && this.isBehindLonger(model, classIndex)) {
      score(lane, {start: lane.start, end: count});
    }
    const isAged =
      lane.start > 0 && this.isLate(request, model, shortlist.lowest, nowMs);
    if (isAged) score({start: 0, end: lane.end}, {start: 0, end: count});
    if (shortlist.lowest === Infinity) return refuse();
    const index = this.level.pick(shortlist, NEAR_TOKENS);
    const upstream = model.engines[index]?.upstream.name;
    if (upstream === undefined) return refuse();
    const cachedTokens = cached.get(upstream) ?? 0;
    const {priority, changesAtMs} = this.age(request, model, nowMs);
    return {
      kind: ChoiceKind.UPSTREAM,
      upstream,
      reason: this.explain(
        model,
        index,
        classIndex,
        lane,
        cachedTokens,
        isAged,
      ),
      priority,
      chunkTokens: model.chunkTokens,
      cachedTokens,
      priorityChangesAtMs: changesAtMs,
    };
  }

  /** Whether even the best of the shortlist waits for longer prefills. */
  private isBehindLonger(model: ModelEngines, classIndex: number): boolean {
    const {rows, scores, count, lowest} = model.shortlist;
    if (lowest <= FREE_TOKENS) return false;
    const index = scores.subarray(0, count).indexOf(lowest);
    const engine = model.engines[rows[index] ?? 0];
    return engine?.load.hasLonger(classIndex) ?? true;
  }

  /** Some neighbouring positions of the lane, the same number at any size. */
  private drawWindow(lane: Lane, count: number): Lane {
    const spare = lane.end - lane.start - MAX_WEIGHED;
    const start =
      lane.start + (spare > 0 ? uniformInt(this.random, 0, spare) : 0);
    return {start, end: Math.min(count, start + MAX_WEIGHED)};
  }

  private explain(
    model: ModelEngines,
    index: number,
    classIndex: number,
    lane: Lane,
    cachedTokens: number,
    aged: boolean,
  ): ChoiceReason {
    if (aged && index < lane.start) return ChoiceReason.AGED;
    if (cachedTokens > 0) return ChoiceReason.PREFIX;
    if (model.engines[index]?.load.hasLonger(classIndex)) {
      return ChoiceReason.BEHIND_LONGER;
    }
    return index < lane.end ? ChoiceReason.LANE : ChoiceReason.OUTSIDE_LANE;
  }

  /** Whether the lane's best engine is expected to miss the limit. */
  private isLate(
    request: RoutedRequest,
    model: ModelEngines,
    waitTokens: number,
    nowMs: number,
  ): boolean {
    const tokens = waitTokens + request.promptTokens;
    const answerMs = request.answerTokens * ANSWER_TOKEN_MS;
    const expectedMs = tokens / model.rate.tokensPerMs + answerMs;
    return nowMs + expectedMs * SAFETY > request.deadlineMs;
  }

  private age(
    request: RoutedRequest,
    model: ModelEngines,
    nowMs: number,
  ): AgedPriority {
    const {priority} = this.classes.classOf(request.promptTokens);
    const prefillMs = request.promptTokens / model.rate.tokensPerMs;
    const answerMs = request.answerTokens * ANSWER_TOKEN_MS;
    const latestMs = request.deadlineMs - (prefillMs + answerMs) * SAFETY;
    const first = priority ?? DEFAULT_PRIORITY;
    return agePriority(first, request.arrivedMs, latestMs, nowMs);
  }

  private takeReport(
    event: RouterEvent & {kind: RouterEventKind.LOAD_REPORT},
    nowMs: number,
  ): void {
    const engine = this.fleet.engine(event.upstream);
    const ageMs = engine?.load.takeReport(event, nowMs);
    if (!engine || ageMs === undefined) return;
    this.fleet.model(engine.upstream.model)?.observeReportAge(ageMs);
    this.fleet.touch(engine, nowMs);
  }

  private startAttempt(
    event: RouterEvent & {kind: RouterEventKind.ATTEMPT_STARTED},
    nowMs: number,
  ): void {
    const {attempt, upstream, request, cachedTokens} = event;
    const engine = this.fleet.engine(upstream);
    const model = this.fleet.model(request.model);
    if (!engine || !model || this.attempts.has(attempt)) return;
    const prefillTokens = Math.max(0, request.promptTokens - cachedTokens);
    const classIndex = this.classes.indexOf(request.promptTokens);
    this.attempts.set(attempt, {upstream, request, cachedTokens});
    engine.load.startAttempt(attempt, {
      startedMs: nowMs,
      classIndex,
      prefillTokens,
      memoryTokens: request.promptTokens + request.answerTokens,
      alone: engine.load.queuedTokens(model.rate.tokensPerMs, nowMs) <= 0,
    });
    this.fleet.touch(engine, nowMs);
    this.widths.observeArrival(request.model, classIndex, prefillTokens, nowMs);
  }

  private takeFirstToken(
    attempt: string,
    cachedTokens: number | undefined,
    nowMs: number,
  ): void {
    const running = this.attempts.get(attempt);
    if (!running) return;
    const {upstream, request} = running;
    const engine = this.fleet.engine(upstream);
    const own = engine?.load.takeFirstToken(attempt, nowMs);
    if (!engine || !own) return;
    this.fleet.touch(engine, nowMs);
    if (own.alone) {
      const tokens =
        request.promptTokens - (cachedTokens ?? running.cachedTokens);
      const rate = this.fleet.model(request.model)?.rate;
      rate?.observe(tokens, nowMs - own.startedMs);
    }
    this.cache.takePrefill(upstream, request.prefixes, nowMs);
  }

  private endAttempt(attempt: string, nowMs: number): void {
    const running = this.attempts.get(attempt);
    if (!running) return;
    this.attempts.delete(attempt);
    const engine = this.fleet.engine(running.upstream);
    if (!engine) return;
    engine.load.endAttempt(attempt, nowMs);
    this.fleet.touch(engine, nowMs);
  }

  private avoid(upstream: string, untilMs: number, nowMs: number): void {
    const engine = this.fleet.engine(upstream);
    if (!engine) return;
    engine.avoidedUntilMs = untilMs;
    this.fleet.touch(engine, nowMs);
  }
}

const DEFAULT_PRIORITY = 5;

function refuse(): Choice {
  return {kind: ChoiceKind.NONE, reason: ChoiceReason.NO_UPSTREAM};
}
