import {allocatePromptMemory} from './allocate_prompt_memory.js';
import {CheapestOptions} from './cheapest_options.js';
import type {CapacityShortage} from './capacity_shortage.js';
import type {EngineForecast} from './engine_forecast.js';
import {estimateDecodeLoss} from './estimate_decode_loss.js';
import {estimateLatenessLoss} from './estimate_lateness_loss.js';
import {estimatePrefillLoss} from './estimate_prefill_loss.js';
import {estimatePrefillTiming} from './estimate_prefill_timing.js';
import {MAX_PREFILL_ENGINES} from './max_prefill_engines.js';
import {PassModel} from './pass_model.js';
import type {PrefillOption} from './prefill_option.js';
import type {PrefillPlan} from './prefill_plan.js';
import type {PrefillTiming} from './prefill_timing.js';
import type {PricedPlan} from './priced_plan.js';
import type {PromptDemand} from './prompt_demand.js';
import {weighRequest} from './weigh_request.js';

/** Smallest part of a prompt for which a further engine is considered, in tokens. */
const MIN_PART_TOKENS = 2_048;
/** Cost of each millisecond until the first event, in tokens. */
const COST_TOKENS_PER_MS = 2;
/** Cost of each engine in a plan, in tokens: connections and messages. */
const COST_TOKENS_PER_PART = 40;
/**
 * Cost of starting to decode on an engine that is not decoding, in tokens. Long
 * parts of other prompts can then no longer be prefilled there without pausing
 * this answer.
 */
const FIRST_DECODE_COST_TOKENS = 1_000;

/**
 * Cost of each position down the host's own preference list of engines, in tokens.
 * Placement updates take time to reach other hosts. Without this cost, hosts with
 * the same view would all choose the engine with the smallest backlog.
 */
const COST_TOKENS_PER_POSITION = 80;
/**
 * The same cost for each part of a split prompt. A higher cost makes a split
 * over many engines look more expensive than refusing the prompt, so that long
 * prompts are refused although engines are idle.
 */
const PART_COST_TOKENS_PER_POSITION = 20;

/**
 * Price of a millisecond of engine time, in tokens, per millisecond of mean backlog.
 * Prefill work grows with the square of the prompt length, but the weight of a
 * request only linearly. At a long backlog the longest prompts are thus refused
 * first.
 */
const PRICE_TOKENS_PER_BACKLOG_MS = 0.012;
/**
 * Fraction of a request's weight that a refusal loses. It is below 1 because the
 * caller may retry once and then be served.
 */
const REFUSAL_LOSS_FRACTION = 0.9;
/**
 * Fraction of a request's weight that its overhead counts for at most when serving is
 * compared with refusing. With the loss of a late answer it stays below the loss of a
 * refusal, so that idle engines refuse no request because it is small.
 */
const MAX_OVERHEAD_FRACTION = 0.1;

/**
 * Chooses the engines that prefill a prompt. It minimizes the expected loss over
 * all requests: the placed one, those that wait for prefill, and those whose decode
 * is paused. Load pattern: prompts of a thousand to a million tokens share the
 * engines, and the mix changes within seconds.
 */
export class PrefillPlanner {
  constructor(private readonly model: PassModel) {}

  /**
   * Plans the prefill of a prompt.
   *
   * @param engines Load of the engines that may answer, in this host's own order of
   *     preference.
   * @return The plan, or the expected wait when the prompt is refused.
   */
  plan(
    demand: PromptDemand,
    engines: readonly EngineForecast[],
  ): PrefillPlan | CapacityShortage {
    const {slots} = this.model.profile;
    if (!engines.some(({usedSlots}) => usedSlots < slots)) return {waitMs: 0};
    let best: PricedPlan | undefined;
    const maxCount = this.limitEngineCount(demand, engines);
    for (let count = 1; count <= maxCount; count++) {
      const option = this.planFor(demand, engines, count);
      if (option === undefined) continue;
      if (best === undefined || sumCost(option) < sumCost(best)) best = option;
    }
    if (best === undefined) return {waitMs: 0};
    const {expectedMs} = best.plan;
    const weight = weighRequest(demand.promptTokens, demand.answerTokens);
    const cost =
      best.lossTokens +
      Math.min(best.overheadTokens, MAX_OVERHEAD_FRACTION * weight) +
      this.priceEngineTime(demand, engines);
    const isTooLate = expectedMs > demand.callerTimeoutMs;
    if (!isTooLate && cost < REFUSAL_LOSS_FRACTION * weight) return best.plan;
    return {waitMs: expectedMs - demand.objectiveMs};
  }

  /** Estimates the first event of a prompt that one engine prefills alone. */
  estimateAlone(
    demand: PromptDemand,
    engine: EngineForecast,
  ): {expectedMs: number; lossTokens: number} {
    const {promptTokens, answerTokens} = demand;
    const pairs = PassModel.countMillionPairs(promptTokens);
    const {finishMs} = estimatePrefillTiming(
      engine,
      this.model,
      promptTokens,
      pairs,
    );
    const weight = weighRequest(promptTokens, answerTokens);
    const lossTokens = weight * estimateLatenessLoss(finishMs, demand);
    return {expectedMs: finishMs, lossTokens};
  }

  /** Cost of the prompt's engine time at the current mean backlog, in tokens. */
  private priceEngineTime(
    demand: PromptDemand,
    engines: readonly EngineForecast[],
  ): number {
    const totalBacklogMs = engines.reduce(
      (sum, {backlogMs}) => sum + backlogMs,
      0,
    );
    const price =
      (PRICE_TOKENS_PER_BACKLOG_MS * totalBacklogMs) / engines.length;
    const pairs = PassModel.countMillionPairs(demand.promptTokens);
    return price * this.model.estimatePrefillMs(demand.promptTokens, pairs);
  }

  private limitEngineCount(
    demand: PromptDemand,
    engines: readonly EngineForecast[],
  ): number {
    const maxParts = Math.floor(demand.promptTokens / MIN_PART_TOKENS);
    return Math.max(1, Math.min(MAX_PREFILL_ENGINES, maxParts, engines.length));
  }

  /**
   * Finds the cheapest plan with a given number of engines.
   *
   * @param engines Engines in this host's own order of preference.
   * @return Undefined when no engine may answer or they lack the memory for the
   *     prompt.
   */
  private planFor(
    demand: PromptDemand,
    engines: readonly EngineForecast[],
    count: number,
  ): PricedPlan | undefined {
    const tokens = Math.ceil(demand.promptTokens / count);
    const millionPairs =
      PassModel.countMillionPairs(demand.promptTokens) / count;
    const weight = weighRequest(demand.promptTokens, demand.answerTokens);
    const isSplit = count > 1;
    const costPerPosition = isSplit
      ? PART_COST_TOKENS_PER_POSITION
      : COST_TOKENS_PER_POSITION;
    const lossWhenAfter = (ms: number): number =>
      weight * estimateLatenessLoss(ms, demand);
    const answering = new CheapestOptions(1);
    const helping = new CheapestOptions(count);
    engines.forEach((engine, position) => {
      const timing = estimatePrefillTiming(
        engine,
        this.model,
        tokens,
        millionPairs,
      );
      const ownCost =
        lossWhenAfter(timing.finishMs) +
        COST_TOKENS_PER_MS * timing.finishMs +
        costPerPosition * position;
      const mayAnswer =
        engine.usedSlots < this.model.profile.slots &&
        answering.accepts(ownCost);
      const mayHelp = isSplit && helping.accepts(ownCost);
      if (!mayAnswer && !mayHelp) return;
      // What others lose is added last, as it takes longest to compute.
      const option = this.describe(engine, timing, isSplit);
      const cost = option.othersLossTokens + ownCost;
      if (mayHelp) helping.add(option, cost);
      if (!mayAnswer) return;
      answering.add(
        option,
        cost +
          computeFirstDecodeCost(engine) +
          weight * this.computeMissingMemory(demand, engine),
      );
    });
    const [first] = answering.list();
    if (first === undefined) return undefined;
    const helpers = helping
      .list()
      .filter(({engine}) => engine !== first.engine)
      .slice(0, count - 1);
    const options = [first, ...helpers];
    const heldTokens = allocatePromptMemory(
      demand,
      options.map(({engine}) => engine),
      this.model.profile.memoryTokens,
    );
    if (heldTokens === undefined) return undefined;
    const expectedMs = Math.max(...options.map(({finishMs}) => finishMs));
    const othersLossTokens = options.reduce(
      (total, option) => total + option.othersLossTokens,
      0,
    );
    return {
      plan: {
        expectedMs,
        parts: options.map(({engine, passMs}, index) => ({
          upstream: engine.upstream,
          tokens,
          millionPairs,
          heldTokens: heldTokens[index] ?? 0,
          passMs,
        })),
      },
      lossTokens: othersLossTokens + lossWhenAfter(expectedMs),
      overheadTokens:
        COST_TOKENS_PER_MS * expectedMs +
        COST_TOKENS_PER_PART * count +
        computeFirstDecodeCost(first.engine),
    };
  }

  /** Fraction of the request's tokens that an engine has no memory for, 0 to 1. */
  private computeMissingMemory(
    demand: PromptDemand,
    engine: EngineForecast,
  ): number {
    const needed = demand.promptTokens + demand.answerTokens;
    const free = this.model.profile.memoryTokens - engine.usedMemoryTokens;
    return Math.max(0, needed - Math.max(0, free)) / Math.max(needed, 1);
  }

  /**
   * Estimates the effect of prefilling a part on an engine.
   *
   * @param isAheadOfQueue Whether the part is prefilled before the requests that
   *     already wait there, as parts of split prompts are.
   */
  private describe(
    engine: EngineForecast,
    {prefillMs, finishMs, passMs}: PrefillTiming,
    isAheadOfQueue: boolean,
  ): PrefillOption {
    const isDecoding = engine.decodeRequests.length > 0;
    const delaysPrefill = isDecoding || isAheadOfQueue;
    const prefillLoss = delaysPrefill
      ? estimatePrefillLoss(engine, prefillMs)
      : 0;
    const decodeLoss = isDecoding ? estimateDecodeLoss(engine, passMs) : 0;
    return {
      engine,
      finishMs,
      passMs,
      othersLossTokens: decodeLoss + prefillLoss,
    };
  }
}

function sumCost({lossTokens, overheadTokens}: PricedPlan): number {
  return lossTokens + overheadTokens;
}

function computeFirstDecodeCost({decodeRequests}: EngineForecast): number {
  return decodeRequests.length === 0 ? FIRST_DECODE_COST_TOKENS : 0;
}
