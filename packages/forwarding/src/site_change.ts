import type {Configuration} from './configuration.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** Changes in the configuration store since an earlier revision. */
export interface SiteChange {
  /** Revision of the store that includes the changes. */
  readonly revision: number;
  /** The newest configuration among the changes. */
  readonly configuration?: Configuration;
  /** Upstreams that were added or updated, in the order of their changes. */
  readonly updated: readonly UpstreamEntry[];
  /** Ids of upstreams whose entry was deleted or is no longer readable. */
  readonly removed: readonly string[];
}
