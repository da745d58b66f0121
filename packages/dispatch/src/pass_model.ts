import type {EngineProfile} from '@parsleywood/forwarding';

const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;

/** Times of an engine's passes, from the published figures of its kind. */
export class PassModel {
  constructor(readonly profile: EngineProfile) {}

  /** Pairs of a prompt's tokens, in millions. */
  static countPairs(tokens: number): number {
    return (tokens * tokens) / 2 / PAIRS_PER_MILLION;
  }

  /** Most prompt tokens that one pass reads while requests write. */
  get tokensPerPass(): number {
    return this.profile.chunkTokens * this.profile.stepsPerPass;
  }

  /**
   * Time of a pass in which requests write and nothing is read.
   *
   * @param contextTokens Tokens of all prompts and answers being written.
   */
  passMs(writers: number, contextTokens: number): number {
    const {stepsPerPass, stepMs, stepMsPerWriter, stepMsPerThousandTokens} =
      this.profile;
    const context =
      (contextTokens / TOKENS_PER_THOUSAND) * stepMsPerThousandTokens;
    return stepsPerPass * (stepMs + writers * stepMsPerWriter + context);
  }

  /** Time to read tokens; writing beside it adds passes, not time to read. */
  readMs(tokens: number, millionPairs: number): number {
    const {readTokensPerMs, readMsPerMillionPairs} = this.profile;
    return tokens / readTokensPerMs + millionPairs * readMsPerMillionPairs;
  }
}
