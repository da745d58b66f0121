import type {Configuration} from './configuration.js';
import type {StorePosition} from './store_position.js';
import type {UpstreamEntry} from './upstream_entry.js';

/**
 * Changes in the configuration store since an earlier revision, and the position of
 * the store that includes them.
 */
export interface SiteChange extends StorePosition {
  /** The newest configuration among the changes. */
  readonly configuration?: Configuration;
  /** Upstreams that were added or updated, in the order of their changes. */
  readonly updated: readonly UpstreamEntry[];
  /** Ids of upstreams whose entry was deleted or is no longer readable. */
  readonly removed: readonly string[];
  /** Failure domains whose evacuation began; absent if the sender cannot tell. */
  readonly evacuated?: readonly string[];
  /** Failure domains whose evacuation was withdrawn; absent as above. */
  readonly restored?: readonly string[];
}
