import type {EngineProfile} from '@parsleywood/forwarding';

/** Profile of an engine with 11 slots and a KV cache of 405,000 tokens. */
export const ENGINE_PROFILE: EngineProfile = {
  slots: 11,
  memoryTokens: 405_000,
  stepsPerPass: 34,
  stepMs: 1.31,
  stepMsPerWriter: 0.0013,
  stepMsPerThousandTokens: 0.00213,
  readTokensPerMs: 154,
  readMsPerMillionPairs: 0.162,
  chunkTokens: 2_048,
  meanAnswerTokens: 1_266,
};
