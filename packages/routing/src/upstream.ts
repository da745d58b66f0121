/** An upstream, as configured and currently listed. */
export interface Upstream {
  readonly name: string;
  readonly model: string;
  /** KV memory capacity, in tokens. */
  readonly memoryTokens: number;
  /** Whether the upstream is leaving and gets no new requests. */
  readonly leaving: boolean;
}
