import type {SiteChange} from './site_change.js';
import {SiteRules} from './site_rules.js';
import type {SiteSnapshot} from './site_snapshot.js';
import {UpstreamRegistry} from './upstream_registry.js';

/**
 * Keeps the newest configuration and the list of upstreams. Revision and
 * version never decrease, in whatever order the store and the peers deliver
 * them.
 */
export class SiteReplica {
  readonly upstreams = new UpstreamRegistry();
  private activeRules: SiteRules | undefined;
  private currentRevision = 0;

  /** Latest revision of the store that has been applied; 0 for none. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Active rules; undefined until a configuration has been loaded. */
  get rules(): SiteRules | undefined {
    return this.activeRules;
  }

  /**
   * Applies a snapshot unless it is older than the current revision.
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
    if (snapshot.revision < this.currentRevision) return false;
    this.currentRevision = snapshot.revision;
    this.upstreams.replace(snapshot.upstreams, nowMs, mayHaveExpired);
    return this.adoptIfNewer(snapshot.configuration);
  }

  /**
   * Applies a change unless it is older than the current revision.
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
    if (change.revision < this.currentRevision) return false;
    this.currentRevision = change.revision;
    for (const entry of change.updated) this.upstreams.write(entry);
    for (const id of change.removed) {
      this.upstreams.remove(id, nowMs, mayHaveExpired);
    }
    return this.adoptIfNewer(change.configuration);
  }

  /** Snapshot with which a peer reaches this revision. */
  createSnapshot(): SiteSnapshot {
    const configuration = this.activeRules?.configuration;
    return {
      revision: this.currentRevision,
      ...(configuration && {configuration}),
      upstreams: this.upstreams.list(),
    };
  }

  private adoptIfNewer(configuration: SiteSnapshot['configuration']): boolean {
    if (configuration === undefined) return false;
    const version = this.activeRules?.configuration.version ?? 0;
    if (configuration.version <= version) return false;
    this.activeRules = new SiteRules(configuration);
    return true;
  }
}
