import type {Configuration} from './configuration.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** What is published for a site at one revision of the store. */
export interface SiteSnapshot {
  readonly revision: number;
  /** Absent until operators have published one. */
  readonly configuration?: Configuration;
  readonly upstreams: readonly UpstreamEntry[];
}
