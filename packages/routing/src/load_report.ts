/** Load that an engine reports; see `RouterEvent` for the fields. */
export interface LoadReport {
  readonly incarnation: string;
  readonly sequence: number;
  readonly takenAtMs: number;
  readonly queuedTokens: number;
  readonly decoding: number;
  readonly usedTokens: number;
  readonly longestPrefillTokens: number;
}
