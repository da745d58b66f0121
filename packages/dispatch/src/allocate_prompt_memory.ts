import type {EngineForecast} from './engine_forecast.js';
import type {PromptDemand} from './prompt_demand.js';

/**
 * Fraction of an engine's free memory that one split prompt may use. The rest
 * is a margin for forecast errors.
 */
const MAX_FREE_MEMORY_FRACTION = 0.9;
/**
 * Smallest reservation at a helper, in tokens. A smaller one is not worth the calls
 * that make, renew and release it.
 */
const MIN_RESERVATION_TOKENS = 8_192;

/**
 * Distributes the KV cache of a prompt over the engines that prefill it. The
 * answering engine holds as much as it can; the helpers reserve memory for the rest.
 *
 * @param engines Engines that prefill the prompt, the answering one first.
 * @param memoryTokens Memory of one engine, in tokens.
 * @return Tokens that each engine holds; undefined when memory is insufficient.
 */
export function allocatePromptMemory(
  {promptTokens, answerTokens}: PromptDemand,
  engines: readonly EngineForecast[],
  memoryTokens: number,
): number[] | undefined {
  const freeTokens = engines.map(({usedMemoryTokens}) =>
    Math.max(0, memoryTokens - usedMemoryTokens),
  );
  const answeringTokens = (freeTokens[0] ?? 0) - answerTokens;
  if (promptTokens <= answeringTokens) {
    return engines.map((_, index) => (index ? 0 : promptTokens));
  }
  const held = [
    Math.max(0, Math.floor(answeringTokens * MAX_FREE_MEMORY_FRACTION)),
  ];
  let remaining = promptTokens - (held[0] ?? 0);
  for (const helperTokens of freeTokens.slice(1)) {
    const maxTokens = Math.floor(helperTokens * MAX_FREE_MEMORY_FRACTION);
    const tokens =
      remaining > 0
        ? Math.min(maxTokens, Math.max(remaining, MIN_RESERVATION_TOKENS))
        : 0;
    held.push(tokens);
    remaining -= tokens;
  }
  return remaining <= 0 ? held : undefined;
}
