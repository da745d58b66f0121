import type {Configuration} from './configuration.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** Configuration and upstreams of a site at one revision of the store. */
export interface SiteSnapshot {
  readonly revision: number;
  /** Absent until operators publish one. */
  readonly configuration?: Configuration;
  readonly upstreams: readonly UpstreamEntry[];
}
