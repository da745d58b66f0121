import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {AttemptTracker} from './attempt_tracker.js';
import {CacheIndex} from './cache_index.js';
import type {Choice} from './choice.js';
import {ChoiceKind} from './choice_kind.js';
import {ChoiceReason} from './choice_reason.js';
import type {ClassDemand} from './class_demand.js';
import {EngineRegistry} from './engine_registry.js';
import {EngineScorer} from './engine_scorer.js';
import type {Lane} from './lane.js';
import {LaneAllocator} from './lane_allocator.js';
import {LengthClasses} from './length_classes.js';
import type {ModelEngines} from './model_engines.js';
import {RequestTiming} from './request_timing.js';
import type {RoutedRequest} from './routed_request.js';
import type {Router} from './router.js';
import type {RouterEvent} from './router_event.js';
import {RouterEventKind} from './router_event_kind.js';
import type {RouterOptions} from './router_options.js';
import {WaterFillingPicker} from './water_filling_picker.js';

/**
 * Prompt tokens that are assumed to arrive before the scores are updated. An
 * engine whose score exceeds the lowest by this much or more is not picked.
 */
const EXPECTED_ARRIVAL_TOKENS = 128;
/**
 * Maximum number of engines scored for a request, unless even the best of them
 * is busy with longer prefills.
 */
const MAX_CANDIDATES = 256;
/** Engines with a score up to this value count as idle, in prompt tokens. */
const IDLE_QUEUE_TOKENS = 1024;
/** Maximum report age over which arrivals at the peers are extrapolated. */
const MAX_REPORT_AGE_MS = 2000;

/**
 * Router that keeps short prompts from waiting behind long prefills. Each length
 * class has a lane, a range of engines whose size follows the demand.
 */
export class LaneRouter implements Router {
  private readonly classes: LengthClasses;
  private readonly picker: WaterFillingPicker;
  private readonly engines: EngineRegistry;
  private readonly lanes: LaneAllocator;
  private readonly cache = new CacheIndex();
  private readonly scorer: EngineScorer;
  private readonly random: RandomGenerator;
  private readonly attempts: AttemptTracker;
  private readonly timing: RequestTiming;

  constructor(options: RouterOptions) {
    this.classes = new LengthClasses(options.lengthClasses);
    this.random = options.random;
    this.picker = new WaterFillingPicker(options.random);
    this.scorer = new EngineScorer(name => this.engines.getPosition(name));
    this.engines = new EngineRegistry(
      this.classes,
      options.prefillTokensPerMs,
      options.chunkMs,
    );
    this.lanes = new LaneAllocator(options.host, this.classes);
    this.timing = new RequestTiming(this.classes);
    this.attempts = new AttemptTracker(
      this.classes,
      this.engines,
      this.lanes,
      this.cache,
    );
  }

  choose(request: RoutedRequest, nowMs: number): Choice {
    const model = this.engines.getModel(request.model);
    if (!model || model.engines.length === 0) return createRefusal();
    const needTokens = request.promptTokens + request.answerTokens;
    if (needTokens > model.maxMemoryTokens) {
      const {priority} = this.timing.findPriority(request, model.rate, nowMs);
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
        for (const name of this.engines.setUpstreams(event.upstreams, nowMs)) {
          this.cache.clearEngine(name);
        }
        break;
      case RouterEventKind.LOAD_REPORT:
        this.engines.applyReport(event.upstream, event, nowMs);
        break;
      case RouterEventKind.CACHE_EVENT:
        this.cache.applyEvent(event.upstream, event, nowMs);
        break;
      case RouterEventKind.ATTEMPT_STARTED:
        this.attempts.start(event, nowMs);
        break;
      case RouterEventKind.FIRST_TOKEN:
        this.attempts.recordFirstToken(
          event.attempt,
          event.cachedTokens,
          nowMs,
        );
        break;
      case RouterEventKind.ATTEMPT_ENDED:
        this.attempts.end(event.attempt, nowMs);
        break;
      case RouterEventKind.AVOID:
        this.engines.setAvoidedUntil(event.upstream, event.untilMs, nowMs);
        break;
      case RouterEventKind.PEER_DEMAND:
        this.lanes.observePeerDemand(event.host, event.demands, nowMs);
        break;
    }
  }

  getDemand(nowMs: number): ClassDemand[] {
    return this.lanes.getLocalDemand(nowMs);
  }

  priority(request: RoutedRequest, nowMs: number): number {
    const model = this.engines.getModel(request.model);
    return model
      ? this.timing.findPriority(request, model.rate, nowMs).priority
      : 0;
  }

  private chooseEngine(
    request: RoutedRequest,
    model: ModelEngines,
    nowMs: number,
  ): Choice {
    const classIndex = this.classes.indexOf(request.promptTokens);
    const count = model.engines.length;
    const lane = this.lanes.findLane(
      request.model,
      classIndex,
      count,
      model.rate.tokensPerMs,
      nowMs,
    );
    const cachedTokensByEngine = this.cache.findCachedTokens(
      request.prefixes,
      nowMs,
    );
    const preferred = this.lanes.findPreferredPositions(nowMs);
    const peerTokens =
      Math.min(model.reportAgeMs, MAX_REPORT_AGE_MS) *
      this.lanes.sumPeerTokensPerMs(request.model, classIndex, nowMs);
    const context = {
      classIndex,
      cachedTokensByEngine,
      preferred,
      penaltyTokens: peerTokens / count,
    };
    const score = (usedLane: Lane, candidates: Lane) =>
      this.scorer.score(
        model,
        request,
        {...context, lane: usedLane, candidates},
        nowMs,
      );
    const {shortlist} = model;
    const candidates = this.drawCandidates(lane, count);
    score(lane, candidates);
    const isPartial = candidates.end - candidates.start < count - lane.start;
    if (isPartial && this.isBehindLongerPrefill(model, classIndex)) {
      score(lane, {start: lane.start, end: count});
    }
    const isAged =
      lane.start > 0 &&
      this.timing.isExpectedLate(
        request,
        model.rate,
        shortlist.lowestScore,
        nowMs,
      );
    if (isAged) score({start: 0, end: lane.end}, {start: 0, end: count});
    if (shortlist.lowestScore === Infinity) return createRefusal();
    const position = this.picker.pick(shortlist, EXPECTED_ARRIVAL_TOKENS);
    const upstream = model.engines[position]?.upstream.name;
    if (upstream === undefined) return createRefusal();
    const cachedTokens = cachedTokensByEngine.get(upstream) ?? 0;
    const {priority, changesAtMs} = this.timing.findPriority(
      request,
      model.rate,
      nowMs,
    );
    return {
      kind: ChoiceKind.UPSTREAM,
      upstream,
      reason: this.findReason(
        model,
        position,
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

  /**
   * Whether even the best engine of the shortlist is busy with longer prefills.
   */
  private isBehindLongerPrefill(
    model: ModelEngines,
    classIndex: number,
  ): boolean {
    const {positions, scores, count, lowestScore} = model.shortlist;
    if (lowestScore <= IDLE_QUEUE_TOKENS) return false;
    const index = scores.subarray(0, count).indexOf(lowestScore);
    const engine = model.engines[positions[index] ?? 0];
    return engine?.load.hasLongerPrefill(classIndex) ?? true;
  }

  /**
   * Draws a range of at most `MAX_CANDIDATES` positions, so that the cost of a
   * choice does not grow with the number of engines.
   */
  private drawCandidates(lane: Lane, count: number): Lane {
    const spare = lane.end - lane.start - MAX_CANDIDATES;
    const start =
      lane.start + (spare > 0 ? uniformInt(this.random, 0, spare) : 0);
    return {start, end: Math.min(count, start + MAX_CANDIDATES)};
  }

  private findReason(
    model: ModelEngines,
    position: number,
    classIndex: number,
    lane: Lane,
    cachedTokens: number,
    isAged: boolean,
  ): ChoiceReason {
    if (isAged && position < lane.start) return ChoiceReason.AGED;
    if (cachedTokens > 0) return ChoiceReason.PREFIX;
    if (model.engines[position]?.load.hasLongerPrefill(classIndex)) {
      return ChoiceReason.BEHIND_LONGER;
    }
    return position < lane.end ? ChoiceReason.LANE : ChoiceReason.OUTSIDE_LANE;
  }
}

function createRefusal(): Choice {
  return {kind: ChoiceKind.NONE, reason: ChoiceReason.NO_UPSTREAM};
}
