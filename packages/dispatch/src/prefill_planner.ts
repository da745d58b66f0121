import type {EngineForecast} from './engine_forecast.js';
import {holdPrompt} from './allocate_prompt_memory.js';
import {lateLoss} from './estimate_lateness_loss.js';
import {MAX_READERS} from './max_prefill_engines.js';
import {PassModel} from './pass_model.js';
import type {PromptDemand} from './prompt_demand.js';
import type {ReadOption} from './prefill_option.js';
import type {ReadPlan} from './read_plan.js';
import type {Shortage} from './shortage.js';
import {weighRequest} from './weigh_request.js';

/** Least part of a prompt that is worth an engine of its own, in tokens. */
const MIN_PART_TOKENS = 2_048;
/** What a millisecond until the first event costs, in tokens. */
const COST_PER_MS = 2;
/** What each further engine costs, in tokens: connections and messages. */
const COST_PER_PART = 40;
/**
 * What it costs to write on an engine that only reads, in tokens: long parts of
 * other prompts can no longer be read there without a pause of this answer.
 */
const FIRST_WRITER_COST = 1_000;

/**
 * What it costs to go one place down the host's own order of engines, in tokens.
 * News of placements take time; hosts that all took the engine that is least behind
 * would meet there. Emulated: worth of 64 hosts 0.745 without and 0.874 with it.
 */
const COST_PER_PLACE = 80;
/** The same for each part of a prompt; with 80 long prompts were refused at rest. */
const COST_PER_PLACE_OF_PART = 20;

/**
 * Price of an engine's time, in tokens for a millisecond, for each millisecond
 * that engines are behind on average. Work grows with the square of a prompt and
 * worth with its length, so that at a long backlog the longest are refused first.
 */
const PRICE_PER_BACKLOG_MS = 0.012;
/** What a refusal loses: the request may come back once and be served. */
const REFUSAL_LOSS = 0.9;

/**
 * Chooses the engines that read a prompt by what all requests lose: the one
 * that is placed, those that wait for the same pass, and those whose answers
 * pause while it is read. Load pattern: prompts of a thousand to a million tokens
 * share the engines, and the mix swings within seconds.
 */
export class ReadPlanner {
  constructor(private readonly model: PassModel) {}

  /**
   * Plans a prompt.
   *
   * @param engines Engines that may answer it, with what they are doing, in this
   *     host's own order.
   * @return The plan, or when room is expected.
   */
  plan(
    demand: PromptDemand,
    engines: readonly EngineForecast[],
  ): ReadPlan | Shortage {
    const {slots} = this.model.profile;
    const roomy = engines.filter(({slotsTaken}) => slotsTaken < slots);
    if (roomy.length === 0) return {waitMs: 0};
    let best: {plan: ReadPlan; cost: number} | undefined;
    const most = this.countReaders(demand, engines);
    const places = new Map(engines.map((engine, place) => [engine, place]));
    for (let count = 1; count <= most; count++) {
      const option = this.planFor(demand, roomy, places, count);
      if (option === undefined) continue;
      if (best === undefined || option.cost < best.cost) best = option;
    }
    if (best === undefined) return {waitMs: 0};
    const {expectedMs} = best.plan;
    const weight = weighRequest(demand.promptTokens, demand.answerTokens);
    const cost = best.cost + this.priceTime(demand, engines);
    const isHopeless = expectedMs > demand.patienceMs;
    if (!isHopeless && cost < REFUSAL_LOSS * weight) return best.plan;
    return {waitMs: expectedMs - demand.objectiveMs};
  }

  /** What a prompt's time at engines costs while they are behind. */
  private priceTime(
    demand: PromptDemand,
    engines: readonly EngineForecast[],
  ): number {
    const behindMs = engines.reduce((sum, {backlogMs}) => sum + backlogMs, 0);
    const price = (PRICE_PER_BACKLOG_MS * behindMs) / engines.length;
    const pairs = PassModel.countPairs(demand.promptTokens);
    return price * this.model.readMs(demand.promptTokens, pairs);
  }

  private countReaders(
    demand: PromptDemand,
    engines: readonly EngineForecast[],
  ): number {
    const useful = Math.floor(demand.promptTokens / MIN_PART_TOKENS);
    return Math.max(1, Math.min(MAX_READERS, useful, engines.length));
  }

  /** @param places All engines, with their place in this host's own order. */
  private planFor(
    demand: PromptDemand,
    roomy: readonly EngineForecast[],
    places: ReadonlyMap<EngineForecast, number>,
    count: number,
  ): {plan: ReadPlan; cost: number} | undefined {
    const tokens = Math.ceil(demand.promptTokens / count);
    const pairs = PassModel.countPairs(demand.promptTokens) / count;
    const weight = weighRequest(demand.promptTokens, demand.answerTokens);
    const loseAt = (ms: number): number => weight * lateLoss(ms, demand);
    const rate = (option: ReadOption): number =>
      option.harm + loseAt(option.finishMs) + COST_PER_MS * option.finishMs;
    const isAhead = count > 1;
    const costPerPlace = isAhead ? COST_PER_PLACE_OF_PART : COST_PER_PLACE;
    const rateHere = (option: ReadOption): number =>
      rate(option) + costPerPlace * (places.get(option.engine) ?? 0);
    const first = least(
      roomy.map(engine => this.describe(engine, tokens, pairs, isAhead)),
      option =>
        rateHere(option) +
        costOfWriter(option.engine) +
        weight * this.missingRoom(demand, option.engine),
    );
    const others = [...places.keys()]
      .filter(({upstream}) => upstream !== first.engine.upstream)
      .map(engine => this.describe(engine, tokens, pairs, isAhead))
      .sort((left, right) => rateHere(left) - rateHere(right))
      .slice(0, count - 1);
    const options = [first, ...others];
    const held = holdPrompt(
      demand,
      options.map(({engine}) => engine),
      this.model.profile.memoryTokens,
    );
    if (held === undefined) return undefined;
    const expectedMs = Math.max(...options.map(({finishMs}) => finishMs));
    const harm = options.reduce((total, option) => total + option.harm, 0);
    return {
      plan: {
        expectedMs,
        parts: options.map(({engine, passMs}, at) => ({
          upstream: engine.upstream,
          tokens,
          millionPairs: pairs,
          heldTokens: held[at] ?? 0,
          passMs,
        })),
      },
      cost:
        harm +
        loseAt(expectedMs) +
        COST_PER_MS * expectedMs +
        COST_PER_PART * count +
        costOfWriter(first.engine),
    };
  }

  /** Part of the prompt that an engine has no memory for, 0 to 1. */
  private missingRoom(demand: PromptDemand, engine: EngineForecast): number {
    const needed = demand.promptTokens + demand.answerTokens;
    const free = this.model.profile.memoryTokens - engine.memoryTaken;
    return Math.max(0, needed - Math.max(0, free)) / Math.max(needed, 1);
  }

  /** @param isAhead Whether the part is read before what waits there. */
  private describe(
    engine: EngineForecast,
    tokens: number,
    millionPairs: number,
    isAhead: boolean,
  ): ReadOption {
    const {backlogMs, passMs, slowness, writers} = engine;
    const readMs = slowness * this.model.readMs(tokens, millionPairs);
    if (writers.length === 0) {
      const harm = isAhead ? harmReaders(engine, readMs) : 0;
      return {engine, finishMs: backlogMs + readMs, passMs: 0, harm};
    }
    const passes = Math.ceil(tokens / this.model.tokensPerPass);
    const longestMs = passMs + readMs / passes + engine.nextPassReadMs;
    return {
      engine,
      finishMs: passMs / 2 + backlogMs + passes * passMs + readMs,
      passMs: longestMs,
      harm: harmWriters(engine, longestMs) + harmReaders(engine, readMs),
    };
  }
}

/** What answers lose that pause while a pass reads. */
function harmWriters({writers}: EngineForecast, pauseMs: number): number {
  return writers.reduce((total, {weight, pauseObjectiveMs}) => {
    const limits = {objectiveMs: pauseObjectiveMs, patienceMs: Infinity};
    return total + weight * lateLoss(pauseMs, limits);
  }, 0);
}

/** What requests lose whose first event is delayed. */
function harmReaders(engine: EngineForecast, delayMs: number): number {
  const beforeMs = engine.backlogMs + engine.passMs;
  return engine.readers.reduce((total, {weight, objectiveMs}) => {
    const limits = {objectiveMs, patienceMs: Infinity};
    const more =
      lateLoss(beforeMs + delayMs, limits) - lateLoss(beforeMs, limits);
    return total + weight * more;
  }, 0);
}

function costOfWriter({writers}: EngineForecast): number {
  return writers.length === 0 ? FIRST_WRITER_COST : 0;
}

function least<Option extends object>(
  options: readonly Option[],
  rate: (option: Option) => number,
): Option {
  const [first, ...others] = options;
  if (first === undefined) throw new RangeError('no option to choose from');
  let best = first;
  for (const option of others) {
    if (rate(option) < rate(best)) best = option;
  }
  return best;
}
