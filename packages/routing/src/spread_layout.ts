/** The engines that one prompt is spread over. */
export interface SpreadLayout {
  /** In the order in which every host reserves: by name. */
  readonly engines: readonly string[];
  /** Tokens that each engine holds. */
  readonly tokensPerEngine: number;
}
