import type {EngineCommandKind} from './engine_command_kind.js';

/** Model or adapter that an engine has to hold. */
export interface DesiredArtifact {
  readonly kind: EngineCommandKind.LOAD_MODEL | EngineCommandKind.LOAD_ADAPTER;
  readonly name: string;
  readonly version: string;
  /** Size in the weight store, in bytes. */
  readonly sizeBytes: number;
}
