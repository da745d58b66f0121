/** An upstream as the list and the settings describe it. */
export interface Upstream {
  readonly name: string;
  readonly model: string;
  /** KV memory, in tokens. */
  readonly memoryTokens: number;
  /** Whether the upstream is leaving and takes no new work. */
  readonly leaving: boolean;
}
