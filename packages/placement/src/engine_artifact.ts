/** Model or adapter that an engine holds or is loading. */
export interface EngineArtifact {
  readonly kind: string;
  readonly name: string;
  readonly version: string;
  /** False while the engine is loading it. */
  readonly ready: boolean;
}
