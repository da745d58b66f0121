/** A model or adapter that an engine holds or is loading. */
export interface EngineLoad {
  readonly kind: string;
  readonly name: string;
  readonly version: string;
  readonly ready: boolean;
}
