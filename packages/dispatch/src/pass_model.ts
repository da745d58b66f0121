import type {EngineProfile} from '@parsleywood/forwarding';

const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;

/**
 * Estimates prefill and decode times of an engine from its published profile.
 *
 * An engine runs batches in passes. While it decodes, a pass has `stepsPerPass`
 * token steps, and each step can also prefill one chunk of a prompt.
 */
export class PassModel {
  constructor(readonly profile: EngineProfile) {}

  /**
   * Millions of pairs of a token and an earlier one in a prompt. Attention cost
   * grows with this number.
   */
  static countMillionPairs(tokens: number): number {
    return (tokens * tokens) / 2 / PAIRS_PER_MILLION;
  }

  /** Maximum number of prompt tokens that a pass prefills while it also decodes. */
  get maxPrefillTokensPerPass(): number {
    return this.profile.chunkTokens * this.profile.stepsPerPass;
  }

  /**
   * Time of a pass that only decodes, in milliseconds.
   *
   * @param requests Number of requests that are decoding.
   * @param contextTokens Total prompt and answer tokens of these requests.
   */
  passMs(requests: number, contextTokens: number): number {
    const {stepsPerPass, stepMs, stepMsPerWriter, stepMsPerThousandTokens} =
      this.profile;
    const contextMs =
      (contextTokens / TOKENS_PER_THOUSAND) * stepMsPerThousandTokens;
    return stepsPerPass * (stepMs + requests * stepMsPerWriter + contextMs);
  }

  /**
   * Time to prefill tokens, in milliseconds. Concurrent decoding adds the time of
   * its passes, which is not included.
   */
  estimatePrefillMs(tokens: number, millionPairs: number): number {
    const {readTokensPerMs, readMsPerMillionPairs} = this.profile;
    return tokens / readTokensPerMs + millionPairs * readMsPerMillionPairs;
  }
}
