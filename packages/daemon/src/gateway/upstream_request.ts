import type {UpstreamEntry} from '@parsleywood/forwarding';

/** What one attempt sends. */
export interface UpstreamRequest {
  /** Id of the caller's request. */
  readonly id: string;
  readonly upstream: UpstreamEntry;
  readonly method: string;
  /** Path with query. */
  readonly target: string;
  /** Names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}
