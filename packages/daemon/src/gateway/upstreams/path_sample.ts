import type {UpstreamEntry} from '@parsleywood/forwarding';

/** Result of a test of the paths to a few upstreams. */
export interface PathSample {
  /** An upstream whose path works; undefined if none was found. */
  readonly working: UpstreamEntry | undefined;
  /** Number of upstreams that were tested. */
  readonly tested: number;
  /** Number of those that accepted a connection and did not answer. */
  readonly silent: number;
}
