import type {EngineProfile} from './engine_profile.js';

/** A group of upstreams that answer the same requests. */
export interface Service {
  readonly name: string;
  /** Present where the upstreams are model engines. */
  readonly engine?: EngineProfile;
}
