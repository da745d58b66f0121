import type {EngineLoad} from './engine_artifact.js';

/** What an engine shows when it is read back. */
export interface EngineContent {
  /** Highest fencing number that an order to it carried; 0 after a restart. */
  readonly fencing: number;
  readonly role: string;
  readonly loads: readonly EngineLoad[];
}
