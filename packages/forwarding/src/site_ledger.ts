import type {SiteChange} from './site_change.js';
import {SiteRules} from './site_rules.js';
import type {SiteSnapshot} from './site_snapshot.js';
import {UpstreamRegistry} from './upstream_registry.js';

/**
 * Holds the newest configuration and the list of upstreams. Neither revision nor
 * version goes back, whichever of store and peers is heard first.
 */
export class SiteLedger {
  readonly upstreams = new UpstreamRegistry();
  private current: SiteRules | undefined;
  private heldRevision = 0;

  /** Revision of the store that the ledger has reached; 0 for none. */
  get revision(): number {
    return this.heldRevision;
  }

  /** Rules in force; undefined until a configuration is known. */
  get rules(): SiteRules | undefined {
    return this.current;
  }

  /**
   * @param mayHaveLapsed Whether the store was away a short time ago.
   * @return Whether another configuration is in force now.
   */
  takeSnapshot(
    snapshot: SiteSnapshot,
    nowMs: number,
    mayHaveLapsed: boolean,
  ): boolean {
    if (snapshot.revision < this.heldRevision) return false;
    this.heldRevision = snapshot.revision;
    this.upstreams.replace(snapshot.upstreams, nowMs, mayHaveLapsed);
    return this.adopt(snapshot.configuration);
  }

  /**
   * @param mayHaveLapsed Whether the store was away a short time ago.
   * @return Whether another configuration is in force now.
   */
  takeChange(
    change: SiteChange,
    nowMs: number,
    mayHaveLapsed: boolean,
  ): boolean {
    if (change.revision < this.heldRevision) return false;
    this.heldRevision = change.revision;
    for (const entry of change.written) this.upstreams.write(entry);
    for (const id of change.removed) {
      this.upstreams.remove(id, nowMs, mayHaveLapsed);
    }
    return this.adopt(change.configuration);
  }

  /** What a peer needs to reach this revision. */
  snapshot(): SiteSnapshot {
    const configuration = this.current?.configuration;
    return {
      revision: this.heldRevision,
      ...(configuration && {configuration}),
      upstreams: this.upstreams.listed(),
    };
  }

  private adopt(configuration: SiteSnapshot['configuration']): boolean {
    if (configuration === undefined) return false;
    const version = this.current?.configuration.version ?? 0;
    if (configuration.version <= version) return false;
    this.current = new SiteRules(configuration);
    return true;
  }
}
