/** One request of a caller, and what came of it. */
export interface SoakCall {
  readonly id: string;
  readonly path: string;
  readonly gateway: number;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Status of the answer; 0 when the connection ended without one. */
  readonly status: number;
  readonly body: string;
  /** Whether the answer was cut off. */
  readonly isCut: boolean;
}
