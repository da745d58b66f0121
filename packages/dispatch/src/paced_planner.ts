import type {CapacityShortage} from './capacity_shortage.js';
import type {EngineForecast} from './engine_forecast.js';
import {estimatePrefillTiming} from './estimate_prefill_timing.js';
import {PassModel} from './pass_model.js';
import {PrefillPlanner} from './prefill_planner.js';
import type {PrefillPlan} from './prefill_plan.js';
import type {PromptDemand} from './prompt_demand.js';
import type {UpstreamHealth} from './upstream_health.js';
import type {UpstreamPace} from './upstream_pace.js';

/** Wait beyond that at a warm engine that is allowed of a request that is late anyway. */
const MIN_EXTRA_WAIT_MS = 250;
/**
 * The same for a request that has nowhere else to go: a caller that is refused comes
 * back no sooner.
 */
const MIN_LAST_EXTRA_WAIT_MS = 500;

/**
 * Part of the objective within which a prompt must be read at the assumed slowdown, so
 * that it may test an engine that holds nothing. It is the part up to which the planner
 * takes a forecast for on time.
 */
const TRIAL_PART = 0.8;

/**
 * Plans prompts while engines are on probation. A prompt goes to such an engine only
 * if, even at the assumed slowdown, it waits no longer than at a warm one by more than
 * its objective. Load pattern: an engine that has just started holds nothing, so that all
 * hosts send it prompts that it is too slow for.
 */
export class PacedPlanner {
  private readonly planner: PrefillPlanner;

  constructor(
    private readonly model: PassModel,
    private readonly health: UpstreamHealth,
    private readonly pace: UpstreamPace,
  ) {
    this.planner = new PrefillPlanner(model);
  }

  plan(
    demand: PromptDemand,
    engines: readonly EngineForecast[],
    nowMs: number,
  ): PrefillPlan | CapacityShortage {
    const {pace, planner} = this;
    const open = engines.flatMap(
      engine => this.admit(demand, engine, MIN_EXTRA_WAIT_MS, nowMs) ?? [],
    );
    const plan = planner.plan(demand, open);
    if ('parts' in plan) return plan;
    const last = planner.plan(
      demand,
      engines.flatMap(engine => this.admitLast(demand, engine, nowMs) ?? []),
    );
    if ('parts' in last) return last;
    if (open.length === engines.length) return plan;
    const ids = new Set(open.map(({upstream}) => upstream));
    const left = engines.flatMap(({upstream}) =>
      ids.has(upstream) ? [] : upstream,
    );
    const returnMs = pace.planReturnMs(left, nowMs);
    // Where others are open as well, their unknown wait may be shorter.
    const isKnown = open.length === 0 || plan.waitMs > 0;
    const otherMs = plan.waitMs > 0 ? plan.waitMs : Infinity;
    return {waitMs: isKnown ? Math.min(otherMs, returnMs) : 0, isPaced: true};
  }

  /** Returns the forecast with which an engine may be planned; undefined if it may not. */
  private admit(
    {promptTokens, objectiveMs}: PromptDemand,
    engine: EngineForecast,
    minExtraMs: number,
    nowMs: number,
  ): EngineForecast | undefined {
    const {pace, model, health} = this;
    const {upstream, usedMemoryTokens, slowdownFactor} = engine;
    if (!pace.isOnProbation(upstream)) return engine;
    const held = {
      requests: countRequests(engine),
      tokens: usedMemoryTokens,
      maxTokens: model.profile.memoryTokens,
    };
    if (!pace.mayTake(upstream, promptTokens, held, nowMs)) return undefined;
    const pairs = PassModel.countMillionPairs(promptTokens);
    const {finishMs} = estimatePrefillTiming(
      engine,
      model,
      promptTokens,
      pairs,
    );
    const isTrial = this.isIdle(engine) && !pace.isMeasured(upstream);
    if (isTrial && finishMs <= TRIAL_PART * objectiveMs) {
      return this.assumeNormalSpeed(engine);
    }
    const warmPart = health.getSlowdownFactor(upstream) / slowdownFactor;
    const extraMs = finishMs * (1 - warmPart);
    const isShort = extraMs <= Math.max(objectiveMs, minExtraMs);
    return isShort ? engine : undefined;
  }

  private isIdle(engine: EngineForecast): boolean {
    return (
      this.pace.isOnProbation(engine.upstream) && countRequests(engine) === 0
    );
  }

  /**
   * The same for a request that has nowhere else to go. An engine that holds nothing
   * takes it at its normal speed unless it is known to be slow: this is better than to
   * refuse it.
   */
  private admitLast(
    demand: PromptDemand,
    engine: EngineForecast,
    nowMs: number,
  ): EngineForecast | undefined {
    if (!this.isIdle(engine)) {
      return this.admit(demand, engine, MIN_LAST_EXTRA_WAIT_MS, nowMs);
    }
    return this.pace.isMeasured(engine.upstream)
      ? engine
      : this.assumeNormalSpeed(engine);
  }

  /** Takes the assumed slowdown from the forecast of an engine that holds nothing. */
  private assumeNormalSpeed(engine: EngineForecast): EngineForecast {
    const {upstream, passMs} = engine;
    const slowdownFactor = this.health.getSlowdownFactor(upstream);
    const change = slowdownFactor / engine.slowdownFactor;
    return {...engine, slowdownFactor, passMs: change * passMs};
  }
}

function countRequests({
  decodeRequests,
  prefillRequests,
}: EngineForecast): number {
  return decodeRequests.length + prefillRequests.length;
}
