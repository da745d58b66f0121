import type {EngineArtifact} from './engine_artifact.js';

/** State that an engine reports when it is read. */
export interface EngineState {
  /** Highest fencing token of the commands received; 0 after a restart. */
  readonly fencing: number;
  readonly role: string;
  readonly loads: readonly EngineArtifact[];
}
