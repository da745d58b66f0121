import type {EngineLoad} from './engine_load.js';
import type {Upstream} from './upstream.js';

/** An engine with its load, as one host sees it. */
export interface Engine {
  upstream: Upstream;
  readonly load: EngineLoad;
  /** Monotonic time until which the engine gets no new work. */
  avoidedUntilMs: number;
  /** Position in the rendezvous order of its model. */
  position: number;
}
