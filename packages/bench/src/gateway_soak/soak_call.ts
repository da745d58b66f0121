import type {SoakRoute} from './soak_route.js';

/** One request of a caller, and what came of it. */
export interface SoakCall {
  readonly id: string;
  readonly route: SoakRoute;
  readonly gateway: number;
  /** Whether the caller uses the gateways alone that the directory names. */
  readonly followsDirectory: boolean;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Status of the answer; 0 when the connection ended without one. */
  readonly status: number;
  /** Start of the answer, whole unless a large one was asked for. */
  readonly body: string;
  readonly bodyBytes: number;
  readonly isLarge: boolean;
  /** Whether the request crashes the upstreams that run it. */
  readonly isCrashing: boolean;
  /** Whether the answer was cut off. */
  readonly isCut: boolean;
}
