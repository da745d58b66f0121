/** A part of a prompt that one engine prefills. */
export interface PlacementPart {
  /** Id of the upstream. */
  readonly upstream: string;
  readonly tokens: number;
  /** Millions of pairs of a token and an earlier one; sets the attention cost. */
  readonly millionPairs: number;
  /**
   * Prompt tokens whose KV cache this engine holds. The answering engine, which is
   * the first, holds all that the helpers do not.
   */
  readonly heldTokens: number;
  /**
   * Expected length of the pass that prefills it, in milliseconds; 0 when the engine
   * does not decode.
   */
  readonly passMs: number;
}
