import type {EngineForecast} from './engine_forecast.js';
import type {PromptDemand} from './prompt_demand.js';

/** Part of an engine's free memory that one prompt takes: forecasts may err. */
const USED_PART = 0.9;
/** Least reservation that is worth its orders, in tokens. */
const MIN_HELD_TOKENS = 8_192;

/**
 * Spreads the memory of a prompt over its readers: the first one keeps what it
 * can, the others reserve the rest.
 *
 * @param readers Engines that read it, the answering one first.
 * @param memoryTokens Memory of one engine.
 * @return Tokens that each reader keeps; undefined when there is no room.
 */
export function holdPrompt(
  {promptTokens, answerTokens}: PromptDemand,
  readers: readonly EngineForecast[],
  memoryTokens: number,
): number[] | undefined {
  const free = readers.map(({memoryTaken}) =>
    Math.max(0, memoryTokens - memoryTaken),
  );
  const own = (free[0] ?? 0) - answerTokens;
  if (promptTokens <= own) {
    return readers.map((_, at) => (at ? 0 : promptTokens));
  }
  const held = [Math.max(0, Math.floor(own * USED_PART))];
  let left = promptTokens - (held[0] ?? 0);
  for (const room of free.slice(1)) {
    const most = Math.floor(room * USED_PART);
    const tokens =
      left > 0 ? Math.min(most, Math.max(left, MIN_HELD_TOKENS)) : 0;
    held.push(tokens);
    left -= tokens;
  }
  return left <= 0 ? held : undefined;
}
