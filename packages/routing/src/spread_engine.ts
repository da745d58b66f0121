/** An engine that a spread prompt may use. */
export interface SpreadEngine {
  readonly name: string;
  readonly model: string;
  readonly memoryTokens: number;
}
