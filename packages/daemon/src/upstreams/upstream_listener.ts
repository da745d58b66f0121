import type {UpstreamChange, UpstreamNews} from '@parsleywood/membership';

/** Hears how upstreams may be used. */
export interface UpstreamListener {
  onUpstreamsChanged(changes: readonly UpstreamChange[]): void;
  /** This host found out something that peers should know. */
  onUpstreamNews(upstream: string, news: UpstreamNews): void;
}
