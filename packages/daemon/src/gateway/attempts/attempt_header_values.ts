/** Values of the headers that this host sets on one attempt. */
export interface AttemptHeaderValues {
  /** Id of the upstream that alone may run it. */
  readonly upstreamId: string;
  readonly account: string | undefined;
  readonly leftMs: number;
  /**
   * Id of the event to resume after, as its upstream sent it; undefined to start where
   * the caller asked for.
   */
  readonly lastEventId: string | undefined;
  /**
   * Scheduling rank at the engine, 0 to 9; undefined for services without
   * engines.
   */
  readonly rank: number | undefined;
  /** Engines that prefill parts of the prompt: IP:port or IP:port/reservation. */
  readonly helpers: readonly string[];
}
