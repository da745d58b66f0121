import type {SoakRoute} from './soak_route.js';

/** One request of a caller, and what came of it. */
export interface SoakCall {
  readonly id: string;
  readonly route: SoakRoute;
  readonly gateway: number;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Status of the answer; 0 when the connection ended without one. */
  readonly status: number;
  readonly body: string;
  /** Whether the request crashes the upstreams that run it. */
  readonly isCrashing: boolean;
  /** Whether the answer was cut off. */
  readonly isCut: boolean;
}
