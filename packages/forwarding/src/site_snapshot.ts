import type {Configuration} from './configuration.js';
import type {StorePosition} from './store_position.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** Configuration and upstreams of a site at one position of the store. */
export interface SiteSnapshot extends StorePosition {
  /** Absent until operators publish one. */
  readonly configuration?: Configuration;
  readonly upstreams: readonly UpstreamEntry[];
  /** Failure domains that get nothing new; absent if the sender knows none. */
  readonly evacuatedDomains?: readonly string[];
  /**
   * Revision up to which the evacuated domains are known, if that is not the
   * snapshot's own.
   */
  readonly evacuationRevision?: number;
}
