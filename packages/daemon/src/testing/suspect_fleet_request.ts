/** Request that hosts on virtual time send to upstreams. */
export interface SuspectFleetRequest {
  readonly method: string;
  readonly target: string;
  readonly account: string;
  /** Names in lower case, with their values. */
  readonly headers: readonly (readonly [string, string])[];
  readonly body: string;
  /** Whether it crashes the upstreams that run it. */
  readonly isBad: boolean;
  /** Longest time from its first event to the last, in milliseconds. */
  readonly decodeMs: number;
}
