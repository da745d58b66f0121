import type {EngineForecast} from './engine_forecast.js';
import {PassModel} from './pass_model.js';
import type {PlacementPart} from './placement_part.js';
import type {PromptDemand} from './prompt_demand.js';
import type {ReadPlan} from './read_plan.js';

/** Most engines that read one prompt; more leave too few for other requests. */
const MAX_READERS = 6;
/** Least part of a prompt that is worth an engine of its own, in tokens. */
const MIN_PART_TOKENS = 4_096;
/** Weight of the engines' time against the caller's time. */
const ENGINE_TIME_WEIGHT = 0.15;
/** Cost of a read that lengthens the passes of an engine that writes. */
const WRITER_COST_MS = 20;
/** Cost of the first writer on an engine, which slows what is read there. */
const FIRST_WRITER_COST_MS = 40;

/**
 * Chooses the engines that read a prompt, by time waiting in tokens and pairs
 * rather than by counts of requests. Load pattern: prompts of a thousand to a
 * million tokens share the engines, and the mix swings within seconds.
 */
export class ReadPlanner {
  constructor(private readonly model: PassModel) {}

  /**
   * Plans a prompt.
   *
   * @param engines Engines that may answer it, with what they are doing.
   * @return Undefined when no engine has room for it.
   */
  plan(
    demand: PromptDemand,
    engines: readonly EngineForecast[],
  ): ReadPlan | undefined {
    const roomy = engines.filter(engine => this.hasRoom(demand, engine));
    if (roomy.length === 0) return undefined;
    let best: {plan: ReadPlan; cost: number} | undefined;
    for (let count = 1; count <= this.countReaders(demand, engines); count++) {
      const option = this.planFor(demand, roomy, engines, count);
      if (best === undefined || option.cost < best.cost) best = option;
    }
    return best?.plan;
  }

  private countReaders(
    demand: PromptDemand,
    engines: readonly EngineForecast[],
  ): number {
    const useful = Math.floor(demand.promptTokens / MIN_PART_TOKENS);
    return Math.max(1, Math.min(MAX_READERS, useful, engines.length));
  }

  private hasRoom(demand: PromptDemand, engine: EngineForecast): boolean {
    const {slots, memoryTokens} = this.model.profile;
    const tokens = demand.promptTokens + demand.answerTokens;
    return (
      engine.slotsTaken < slots && engine.memoryTaken + tokens <= memoryTokens
    );
  }

  private planFor(
    demand: PromptDemand,
    roomy: readonly EngineForecast[],
    engines: readonly EngineForecast[],
    count: number,
  ): {plan: ReadPlan; cost: number} {
    const tokens = Math.ceil(demand.promptTokens / count);
    const millionPairs = PassModel.countPairs(demand.promptTokens) / count;
    const timed = (
      engine: EngineForecast,
    ): {
      engine: EngineForecast;
      readMs: number;
      cost: number;
    } => {
      const readMs = this.readMs(engine, tokens, millionPairs);
      const {backlogMs} = engine;
      return {engine, readMs, cost: backlogMs + readMs + harm(engine)};
    };
    const first = least(
      roomy.map(timed).map(one => ({
        ...one,
        cost: one.cost + (one.engine.writers === 0 ? FIRST_WRITER_COST_MS : 0),
      })),
    );
    const others = engines
      .filter(({upstream}) => upstream !== first.engine.upstream)
      .map(timed)
      .sort((left, right) => left.cost - right.cost)
      .slice(0, count - 1);
    const readers = [first, ...others];
    const parts: PlacementPart[] = readers.map(({engine}) => ({
      upstream: engine.upstream,
      tokens,
      millionPairs,
    }));
    const expectedMs = Math.max(
      ...readers.map(({engine, readMs}) => engine.backlogMs + readMs),
    );
    const engineMs = readers.reduce((total, {readMs}) => total + readMs, 0);
    const harmMs = readers.reduce((total, {engine}) => total + harm(engine), 0);
    return {
      plan: {parts, expectedMs},
      cost: expectedMs + ENGINE_TIME_WEIGHT * (engineMs + harmMs),
    };
  }

  private readMs(
    engine: EngineForecast,
    tokens: number,
    millionPairs: number,
  ): number {
    const {writers, contextTokens, slowness} = engine;
    return (
      slowness *
      this.model.readBesideMs(tokens, millionPairs, writers, contextTokens)
    );
  }
}

/** What others lose when this engine reads more. */
function harm({writers}: EngineForecast): number {
  return writers * WRITER_COST_MS;
}

function least<Option extends {cost: number}>(options: Option[]): Option {
  return options.reduce((best, option) =>
    option.cost < best.cost ? option : best,
  );
}
