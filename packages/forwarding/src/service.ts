import type {EngineProfile} from './engine_profile.js';

/** A group of upstreams that answer the same requests. */
export interface Service {
  readonly name: string;
  /** Path of the liveness check. */
  readonly healthPath: string;
  /** Most connections that one upstream takes from all hosts. */
  readonly maxConnections: number;
  /** Present where the upstreams are model engines. */
  readonly engine?: EngineProfile;
}
