/** JSON data of one server-sent event in an engine's response. */
export interface EngineEvent {
  readonly attempt: string;
  /** Position in the output, in tokens from 0. */
  readonly position: number;
  readonly text?: string;
  /** Present if the engine aborts the attempt. */
  readonly error?: {readonly kind: string};
  /** Present only in the last event. */
  readonly finish?: 'stop' | 'length';
  readonly usage?: {
    readonly promptTokens: number;
    readonly completionTokens: number;
    readonly cachedTokens: number;
  };
}
