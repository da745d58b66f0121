import type {CacheIndex} from './cache_index.js';
import type {EngineFleet} from './engine_fleet.js';
import type {LaneWidths} from './lane_widths.js';
import type {LengthClasses} from './length_classes.js';
import type {RoutedRequest} from './routed_request.js';
import type {RouterEvent} from './router_event.js';
import type {RouterEventKind} from './router_event_kind.js';

interface RunningAttempt {
  readonly upstream: string;
  readonly request: RoutedRequest;
  readonly cachedTokens: number;
}

/** Carries the attempts of this host into the loads, rates and cache index. */
export class AttemptBook {
  private readonly attempts = new Map<string, RunningAttempt>();

  constructor(
    private readonly classes: LengthClasses,
    private readonly fleet: EngineFleet,
    private readonly widths: LaneWidths,
    private readonly cache: CacheIndex,
  ) {}

  start(
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

  /** @param cachedTokens Prompt tokens that the engine took from its cache. */
  takeFirstToken(
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

  end(attempt: string, nowMs: number): void {
    const running = this.attempts.get(attempt);
    if (!running) return;
    this.attempts.delete(attempt);
    const engine = this.fleet.engine(running.upstream);
    if (!engine) return;
    engine.load.endAttempt(attempt, nowMs);
    this.fleet.touch(engine, nowMs);
  }
}
