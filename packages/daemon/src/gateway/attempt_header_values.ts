/** What this host adds to a request for one attempt. */
export interface AttemptOrders {
  /** Id of the upstream that alone may run it. */
  readonly upstreamId: string;
  readonly account: string | undefined;
  readonly leftMs: number;
  /** Last event that need not be sent again; absent to start anew. */
  readonly afterEventId: number | undefined;
  /** Rank at the engine, 0 to 9; absent for plain calls. */
  readonly rank: number | undefined;
  /** Engines that read parts: IP:port or IP:port/reservation. */
  readonly helpers: readonly string[];
}
