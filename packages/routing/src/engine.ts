import type {EngineLoad} from './engine_load.js';
import type {Upstream} from './upstream.js';

/** An engine and its load, as this host estimates it. */
export interface Engine {
  upstream: Upstream;
  readonly load: EngineLoad;
  /** Monotonic time until which the engine gets no new requests. */
  avoidedUntilMs: number;
  /** Index in the rendezvous order of the engines of its model. */
  position: number;
}
