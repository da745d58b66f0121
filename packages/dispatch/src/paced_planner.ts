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
 * Plans prompts while engines are on probation. A prompt goes to such an engine only
 * if, even at the assumed slowdown, it waits no longer than at a warm one by more than
 * its objective.
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
    const open = engines.filter(engine => this.mayTake(demand, engine, nowMs));
    const plan = this.planner.plan(demand, open);
    if ('parts' in plan) return plan;
    const idle = engines.filter(engine => this.isIdle(engine));
    if (idle.length > 0) {
      const last = this.planner.plan(demand, this.assumeSpeed(engines, open));
      if ('parts' in last) return last;
    }
    if (open.length === engines.length) return plan;
    const returnMs = this.pace.planReturnMs(
      engines.filter(one => !open.includes(one)).map(({upstream}) => upstream),
      nowMs,
    );
    const waitMs = plan.waitMs > 0 ? Math.min(plan.waitMs, returnMs) : returnMs;
    return {waitMs, isPaced: true};
  }

  private mayTake(
    {promptTokens, objectiveMs}: PromptDemand,
    engine: EngineForecast,
    nowMs: number,
  ): boolean {
    const {pace, model, health} = this;
    const {upstream, usedMemoryTokens, slowdownFactor} = engine;
    if (!pace.isOnProbation(upstream)) return true;
    const held = {
      requests: countRequests(engine),
      tokens: usedMemoryTokens,
      maxTokens: model.profile.memoryTokens,
    };
    if (!pace.mayTake(upstream, promptTokens, held, nowMs)) return false;
    const pairs = PassModel.countMillionPairs(promptTokens);
    const {finishMs} = estimatePrefillTiming(
      engine,
      model,
      promptTokens,
      pairs,
    );
    const warmPart = health.getSlowdownFactor(upstream) / slowdownFactor;
    const extraMs = finishMs * (1 - warmPart);
    return extraMs <= Math.max(objectiveMs, MIN_EXTRA_WAIT_MS);
  }

  private isIdle(engine: EngineForecast): boolean {
    return (
      this.pace.isOnProbation(engine.upstream) && countRequests(engine) === 0
    );
  }

  /**
   * Adds the engines on probation that hold nothing, at their normal speed unless they
   * are known to be slow: a request that has nowhere else to go is better sent there
   * than refused.
   */
  private assumeSpeed(
    engines: readonly EngineForecast[],
    open: readonly EngineForecast[],
  ): EngineForecast[] {
    return engines.flatMap(engine => {
      if (!this.isIdle(engine)) return open.includes(engine) ? engine : [];
      const {upstream, passMs} = engine;
      if (this.pace.isMeasured(upstream)) return engine;
      const slowdownFactor = this.health.getSlowdownFactor(upstream);
      const change = slowdownFactor / engine.slowdownFactor;
      return {...engine, slowdownFactor, passMs: change * passMs};
    });
  }
}

function countRequests({
  decodeRequests,
  prefillRequests,
}: EngineForecast): number {
  return decodeRequests.length + prefillRequests.length;
}
