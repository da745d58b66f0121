import {comparePositions} from './compare_positions.js';
import type {SiteChange} from './site_change.js';
import {SiteRules} from './site_rules.js';
import type {SiteSnapshot} from './site_snapshot.js';
import type {StorePosition} from './store_position.js';
import {UpstreamRegistry} from './upstream_registry.js';

/**
 * Keeps the newest configuration and the list of upstreams. Position and version
 * never decrease, in whatever order the store and the peers deliver them.
 *
 * A store that came back from a copy starts a new epoch, in which its revisions
 * order anew. The version in force stays until a newer one is published, and
 * upstreams that were seen to leave stay unused.
 */
export class SiteReplica {
  readonly upstreams = new UpstreamRegistry();
  private activeRules: SiteRules | undefined;
  private currentPosition: StorePosition = {epoch: 0, revision: 0};

  /** Latest state of the store that has been applied; all 0 for none. */
  get position(): StorePosition {
    return this.currentPosition;
  }

  /** Active rules; undefined until a configuration has been loaded. */
  get rules(): SiteRules | undefined {
    return this.activeRules;
  }

  /** Version in force; 0 until a configuration has been loaded. */
  get version(): number {
    return this.activeRules?.configuration.version ?? 0;
  }

  /**
   * Applies a snapshot. Of one that is older than the current position, only a
   * newer configuration counts.
   *
   * @param mayHaveExpired Whether the store was unavailable recently, so that
   *     missing entries may have expired.
   * @return Whether the configuration changed.
   */
  applySnapshot(
    snapshot: SiteSnapshot,
    nowMs: number,
    mayHaveExpired: boolean,
  ): boolean {
    const {epoch, revision, upstreams} = snapshot;
    const before = this.currentPosition;
    if (comparePositions(snapshot, before) >= 0) {
      this.currentPosition = {epoch, revision};
      if (epoch > before.epoch) this.upstreams.rebase(upstreams, nowMs);
      else this.upstreams.replace(upstreams, nowMs, mayHaveExpired);
    }
    return this.adoptIfNewer(snapshot.configuration);
  }

  /**
   * Applies a change unless it is older than the current position, or of another
   * epoch.
   *
   * @param mayHaveExpired Whether the store was unavailable recently, so that
   *     removed entries may have expired.
   * @return Whether the configuration changed.
   */
  applyChange(
    change: SiteChange,
    nowMs: number,
    mayHaveExpired: boolean,
  ): boolean {
    const {epoch, revision} = change;
    if (epoch !== this.currentPosition.epoch) return false;
    if (revision < this.currentPosition.revision) return false;
    for (const entry of change.updated) this.upstreams.write(entry, nowMs);
    for (const id of change.removed) {
      this.upstreams.remove(id, nowMs, mayHaveExpired);
    }
    // Last, so that a change that cannot be applied is asked for again.
    this.currentPosition = {epoch, revision};
    return this.adoptIfNewer(change.configuration);
  }

  /** Snapshot with which a peer reaches this position; cold times are those left. */
  createSnapshot(nowMs: number): SiteSnapshot {
    const configuration = this.activeRules?.configuration;
    return {
      ...this.currentPosition,
      ...(configuration && {configuration}),
      upstreams: this.upstreams.listAged(nowMs),
    };
  }

  private adoptIfNewer(configuration: SiteSnapshot['configuration']): boolean {
    if (configuration === undefined) return false;
    if (configuration.version <= this.version) return false;
    this.activeRules = new SiteRules(configuration);
    return true;
  }
}
