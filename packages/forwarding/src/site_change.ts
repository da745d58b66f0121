import type {Configuration} from './configuration.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** What has changed in the store since an earlier revision. */
export interface SiteChange {
  /** Revision up to which the changes reach. */
  readonly revision: number;
  /** The newest configuration among the changes. */
  readonly configuration?: Configuration;
  /** Upstreams written anew, in the order of their changes. */
  readonly written: readonly UpstreamEntry[];
  /** Ids of upstreams whose last change removed them or made them unreadable. */
  readonly removed: readonly string[];
}
