import type {EngineProfile} from '@parsleywood/forwarding';
import {MAX_PREFILL_ENGINES} from './max_prefill_engines.js';

/**
 * Whether a prompt fits into the KV cache of the largest allowed set of engines
 * when all of them are idle.
 */
export function canFitPrompt(
  {memoryTokens}: EngineProfile,
  promptTokens: number,
): boolean {
  return promptTokens <= memoryTokens * MAX_PREFILL_ENGINES;
}
