import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {AttemptBook} from './attempt_book.js';
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
import {RequestTiming} from './request_timing.js';
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
/** Keeps short prompts clear of long prefills by lanes whose widths follow demand. */
export class LaneRouter implements Router {
  private readonly classes: LengthClasses;
  private readonly level: LevelPick;
  private readonly fleet: EngineFleet;
  private readonly widths: LaneWidths;
  private readonly cache = new CacheIndex();
  private readonly scorer: EngineScorer;
  private readonly random: RandomGenerator;
  private readonly attempts: AttemptBook;
  private readonly timing: RequestTiming;

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
    this.timing = new RequestTiming(this.classes);
    this.attempts = new AttemptBook(
      this.classes,
      this.fleet,
      this.widths,
      this.cache,
    );
  }

  choose(request: RoutedRequest, nowMs: number): Choice {
    const model = this.fleet.model(request.model);
    if (!model || model.engines.length === 0) return refuse();
    const needTokens = request.promptTokens + request.answerTokens;
    if (needTokens > model.maxMemoryTokens) {
      const {priority} = this.timing.age(request, model.rate, nowMs);
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
        this.fleet.takeReport(event.upstream, event, nowMs);
        break;
      case RouterEventKind.CACHE_EVENT:
        this.cache.takeEvent(event.upstream, event, nowMs);
        break;
      case RouterEventKind.ATTEMPT_STARTED:
        this.attempts.start(event, nowMs);
        break;
      case RouterEventKind.FIRST_TOKEN:
        this.attempts.takeFirstToken(event.attempt, event.cachedTokens, nowMs);
        break;
      case RouterEventKind.ATTEMPT_ENDED:
        this.attempts.end(event.attempt, nowMs);
        break;
      case RouterEventKind.AVOID:
        this.fleet.avoid(event.upstream, event.untilMs, nowMs);
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
    return model ? this.timing.age(request, model.rate, nowMs).priority : 0;
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
      lane.start > 0 &&
      this.timing.isLate(request, model.rate, shortlist.lowest, nowMs);
    if (isAged) score({start: 0, end: lane.end}, {start: 0, end: count});
    if (shortlist.lowest === Infinity) return refuse();
    const index = this.level.pick(shortlist, NEAR_TOKENS);
    const upstream = model.engines[index]?.upstream.name;
    if (upstream === undefined) return refuse();
    const cachedTokens = cached.get(upstream) ?? 0;
    const {priority, changesAtMs} = this.timing.age(request, model.rate, nowMs);
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
}

function refuse(): Choice {
  return {kind: ChoiceKind.NONE, reason: ChoiceReason.NO_UPSTREAM};
}
