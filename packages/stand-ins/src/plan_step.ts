import type {EngineOptions} from './engine_options.js';
import type {EngineStream} from './engine_stream.js';

const SECOND_MS = 1000;

/**
 * Shares out the next step of a batch: one chunk of prompts, to the first
 * streams first, and one token of each stream whose prompt is done.
 *
 * @param streams The running batch, first to be served first.
 * @return Time that the step takes, in milliseconds.
 */
export function planStep(
  streams: readonly EngineStream[],
  options: EngineOptions,
): number {
  let budget = options.chunkTokens;
  let decodes = 0;
  for (const stream of streams) {
    stream.chunk = Math.min(budget, stream.prefillLeft);
    budget -= stream.chunk;
    if (stream.prefillLeft === 0) decodes++;
  }
  const seconds =
    (options.chunkTokens - budget) / options.prefillTokensPerSecond +
    decodes / options.decodeTokensPerSecond;
  return options.stepOverheadMs + seconds * SECOND_MS;
}
