/** Values of the headers that this host sets on one attempt. */
export interface AttemptHeaderValues {
  /** Id of the upstream that alone may run it. */
  readonly upstreamId: string;
  readonly account: string | undefined;
  readonly leftMs: number;
  /** Event to resume after; undefined to start from the beginning. */
  readonly lastEventId: number | undefined;
  /**
   * Scheduling rank at the engine, 0 to 9; undefined for services without
   * engines.
   */
  readonly rank: number | undefined;
  /** Engines that prefill parts of the prompt: IP:port or IP:port/reservation. */
  readonly helpers: readonly string[];
}
