import type {CacheIndex} from './cache_index.js';
import type {EngineRegistry} from './engine_registry.js';
import type {LaneAllocator} from './lane_allocator.js';
import type {LengthClasses} from './length_classes.js';
import type {RoutedRequest} from './routed_request.js';
import type {RouterEvent} from './router_event.js';
import type {RouterEventKind} from './router_event_kind.js';

interface TrackedAttempt {
  readonly upstream: string;
  readonly request: RoutedRequest;
  readonly cachedTokens: number;
}

/**
 * Tracks the running attempts of this host and updates engine loads, prefill
 * rates, demand and cache index.
 */
export class AttemptTracker {
  private readonly attempts = new Map<string, TrackedAttempt>();

  constructor(
    private readonly classes: LengthClasses,
    private readonly engines: EngineRegistry,
    private readonly lanes: LaneAllocator,
    private readonly cache: CacheIndex,
  ) {}

  start(
    event: RouterEvent & {kind: RouterEventKind.ATTEMPT_STARTED},
    nowMs: number,
  ): void {
    const {attempt, upstream, request, cachedTokens} = event;
    const engine = this.engines.getEngine(upstream);
    const model = this.engines.getModel(request.model);
    if (!engine || !model || this.attempts.has(attempt)) return;
    const prefillTokens = Math.max(0, request.promptTokens - cachedTokens);
    const classIndex = this.classes.indexOf(request.promptTokens);
    this.attempts.set(attempt, {upstream, request, cachedTokens});
    engine.load.startAttempt(attempt, {
      startedAtMs: nowMs,
      classIndex,
      prefillTokens,
      memoryTokens: request.promptTokens + request.answerTokens,
      isEngineIdle:
        engine.load.estimateQueuedTokens(model.rate.tokensPerMs, nowMs) <= 0,
    });
    this.engines.updateLoad(engine, nowMs);
    this.lanes.observeArrival(request.model, classIndex, prefillTokens, nowMs);
  }

  /**
   * @param cachedTokens Prompt tokens that the engine read from its cache;
   *   undefined when unknown.
   */
  recordFirstToken(
    attempt: string,
    cachedTokens: number | undefined,
    nowMs: number,
  ): void {
    const tracked = this.attempts.get(attempt);
    if (!tracked) return;
    const {upstream, request} = tracked;
    const engine = this.engines.getEngine(upstream);
    const localAttempt = engine?.load.recordFirstToken(attempt, nowMs);
    if (!engine || !localAttempt) return;
    this.engines.updateLoad(engine, nowMs);
    if (localAttempt.isEngineIdle) {
      const tokens =
        request.promptTokens - (cachedTokens ?? tracked.cachedTokens);
      const rate = this.engines.getModel(request.model)?.rate;
      rate?.observe(tokens, nowMs - localAttempt.startedAtMs);
    }
    this.cache.recordPrefill(upstream, request.prefixes, nowMs);
  }

  end(attempt: string, nowMs: number): void {
    const tracked = this.attempts.get(attempt);
    if (!tracked) return;
    this.attempts.delete(attempt);
    const engine = this.engines.getEngine(tracked.upstream);
    if (!engine) return;
    engine.load.endAttempt(attempt, nowMs);
    this.engines.updateLoad(engine, nowMs);
  }
}
