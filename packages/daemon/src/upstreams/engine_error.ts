/** Error that an engine answers to an attempt. */
export interface EngineError {
  readonly kind: string;
  /** Attempt that it refuses; empty if it names none. */
  readonly attempt: string;
}
