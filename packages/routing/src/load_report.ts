/** What an engine last reported of its load. */
export interface LoadReport {
  readonly incarnation: string;
  readonly sequence: number;
  readonly takenAtMs: number;
  readonly queuedTokens: number;
  readonly decoding: number;
  readonly usedTokens: number;
  readonly longestPrefillTokens: number;
}
