/** The engines that share one prompt. */
export interface SpreadLayout {
  /** Sorted by name, the order in which every host reserves them. */
  readonly engines: readonly string[];
  /** Tokens that each engine reserves memory for. */
  readonly tokensPerEngine: number;
}
