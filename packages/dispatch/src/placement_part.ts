/** A part of a prompt that one engine reads. */
export interface PlacementPart {
  /** Id of the upstream. */
  readonly upstream: string;
  readonly tokens: number;
  /** Pairs of a token and an earlier one, in millions. */
  readonly millionPairs: number;
  /** Tokens of the prompt that are kept there; all others are at the first. */
  readonly heldTokens: number;
  /** Expected length of the pass that reads it, in milliseconds. */
  readonly passMs: number;
}
