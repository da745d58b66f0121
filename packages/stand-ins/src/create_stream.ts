import type {EngineStream} from './engine_stream.js';
import type {EngineSubmission} from './engine_submission.js';

/** Creates the stream of an attempt that has just arrived. */
export function createStream(
  submission: EngineSubmission,
  arrival: number,
  nowMs: number,
): EngineStream {
  const {limitMs, priority, promptTokens, resumeFrom} = submission;
  return {
    submission,
    arrival,
    deadlineMs: nowMs + limitMs,
    priority,
    position: resumeFrom,
    // What was answered before has to be computed again.
    prefillLeft: promptTokens + resumeFrom,
    chunk: 0,
    pinnedBlocks: 0,
    cachedTokens: 0,
    privateTokens: 0,
  };
}
