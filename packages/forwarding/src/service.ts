import type {EngineProfile} from './engine_profile.js';

/** A group of interchangeable upstreams. */
export interface Service {
  readonly name: string;
  /** Present when the upstreams are model engines. */
  readonly engine?: EngineProfile;
}
