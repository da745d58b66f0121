import type {DesiredArtifact} from './desired_artifact.js';

/** Desired state of one engine. */
export interface DesiredEngine {
  readonly engine: string;
  readonly model: string;
  readonly role: string;
  /** The model and then its adapters, in loading order. */
  readonly loads: readonly DesiredArtifact[];
  /** Whether the engine rejects commands with an outdated fencing token. */
  readonly checksFencing: boolean;
}
