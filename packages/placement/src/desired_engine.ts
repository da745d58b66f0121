import type {WantedLoad} from './desired_artifact.js';

/** State that one engine is to reach. */
export interface WantedEngine {
  readonly engine: string;
  readonly model: string;
  readonly role: string;
  /** The model first, then its adapters. */
  readonly loads: readonly WantedLoad[];
  readonly checksFencing: boolean;
}
