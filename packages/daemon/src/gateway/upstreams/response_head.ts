/** Status and headers of an upstream's response. */
export interface ResponseHead {
  readonly status: number;
  /** End-to-end headers, names and values alternating. */
  readonly headers: readonly string[];
  /** Whether the body is a stream of events, as far as the headers tell. */
  readonly isEventStream: boolean;
  /** Whether the upstream states that it did not execute the request. */
  readonly isNotRun: boolean;
  /** Whether the response has neither a length nor chunks. */
  readonly endsWithConnection: boolean;
  /** IP:port of the upstream that caused a refusal; empty when not stated. */
  readonly faultyAddress: string;
  /**
   * Requests a second that the upstream takes from all hosts; undefined when it
   * names no limit.
   */
  readonly rateLimit: number | undefined;
  /** Header that names a limit which cannot be read; what is known of it holds on. */
  readonly unreadableRateLimit: string | undefined;
  /** Time for which a refusal asks for no more requests; 0 if it does not. */
  readonly restMs: number;
  /** Field `Retry-After` of a refusal that names a time which cannot be read. */
  readonly unreadableRest: string | undefined;
  /** Whether the upstream is about to stop. */
  readonly isLeaving: boolean;
}
