import type {ColdStart} from './cold_start.js';
import type {EngineProfile} from './engine_profile.js';

/** A group of interchangeable upstreams. */
export interface Service {
  readonly name: string;
  /** Present when the upstreams are model engines. */
  readonly engine?: EngineProfile;
  /** Path that its upstreams answer to GET without work; absent when none is known. */
  readonly healthPath?: string;
  /** Absent when its upstreams are never cold. */
  readonly coldStart?: ColdStart;
}
