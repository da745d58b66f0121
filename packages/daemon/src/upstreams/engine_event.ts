/** Data of one event in an engine's answer. */
export interface EngineEvent {
  readonly attempt: string;
  /** Output position in tokens, from 0. */
  readonly position: number;
  readonly text?: string;
  /** Present where the engine ends the work without an answer. */
  readonly error?: {readonly kind: string};
  /** Present in the last event. */
  readonly finish?: 'stop' | 'length';
  readonly usage?: {
    readonly promptTokens: number;
    readonly completionTokens: number;
    readonly cachedTokens: number;
  };
}
