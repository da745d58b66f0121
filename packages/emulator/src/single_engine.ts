import {
  PassModel,
  type CapacityShortage,
  type EngineForecast,
  type PromptDemand,
  type UpstreamChoice,
  type UpstreamChooser,
} from '@parsleywood/dispatch';
import type {Service, UpstreamEntry} from '@parsleywood/forwarding';
import type {PlacementPolicy} from './placement_policy.js';

/** Baseline: one engine reads the whole prompt, the one with the lowest rating. */
export class SingleEngine implements PlacementPolicy {
  /** @param rate Rates an engine; the lowest is chosen. */
  constructor(
    private readonly chooser: UpstreamChooser,
    private readonly rate: (engine: EngineForecast) => number,
  ) {}

  choose(
    candidates: readonly UpstreamEntry[],
    {engine}: Service,
    {promptTokens, answerTokens}: PromptDemand,
    nowMs: number,
  ): UpstreamChoice | CapacityShortage {
    if (engine === undefined) return {waitMs: 0};
    const model = new PassModel(engine);
    const roomy = this.chooser
      .forecastEngines(candidates, model, nowMs)
      .filter(
        ({usedSlots, usedMemoryTokens}) =>
          usedSlots < engine.slots &&
          usedMemoryTokens + promptTokens + answerTokens <= engine.memoryTokens,
      )
      .sort((left, right) => this.rate(left) - this.rate(right));
    const [best] = roomy;
    const upstream = candidates.find(({id}) => id === best?.upstream);
    if (best === undefined || upstream === undefined) return {waitMs: 0};
    const millionPairs = PassModel.countMillionPairs(promptTokens);
    const part = {
      upstream: best.upstream,
      tokens: promptTokens,
      millionPairs,
      heldTokens: promptTokens,
      passMs: best.passMs,
    };
    const expectedMs =
      best.backlogMs + model.estimatePrefillMs(promptTokens, millionPairs);
    return {upstream, helpers: [], plan: {parts: [part], expectedMs}};
  }
}
