import type {UpstreamChange, UpstreamNews} from '@parsleywood/membership';

/** Receives changes in which upstreams may receive work. */
export interface UpstreamListener {
  onUpstreamsChanged(changes: readonly UpstreamChange[]): void;
  /** Called for an event that this host detected, to be sent to the peers. */
  onUpstreamNews(upstream: string, news: UpstreamNews): void;
}
