import type {EngineProfile} from '@parsleywood/forwarding';
import {MAX_READERS} from './max_prefill_engines.js';

/** Whether any set of engines holds a prompt, however idle they are. */
export function canEverHold(
  {memoryTokens}: EngineProfile,
  promptTokens: number,
): boolean {
  return promptTokens <= memoryTokens * MAX_READERS;
}
