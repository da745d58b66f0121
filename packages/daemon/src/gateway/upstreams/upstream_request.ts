import type {UpstreamEntry} from '@parsleywood/forwarding';

/** Content of one attempt, as sent to its upstream. */
export interface UpstreamRequest {
  /** Id of the caller's request. */
  readonly id: string;
  readonly upstream: UpstreamEntry;
  readonly method: string;
  /** Path with query string. */
  readonly target: string;
  /** Names and values alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /**
   * Whether a new connection is used, which shows that the upstream is up when
   * the attempt starts.
   */
  readonly needsNewConnection: boolean;
}
