import {comparePositions} from './compare_positions.js';
import {EvacuatedDomains} from './evacuated_domains.js';
import {leadsOn} from './leads_on.js';
import type {SiteChange} from './site_change.js';
import type {SiteDelta} from './site_delta.js';
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
  readonly evacuations: EvacuatedDomains;
  private activeRules: SiteRules | undefined;
  private currentPosition: StorePosition = {epoch: 0, revision: 0};

  /**
   * @param evacuationMs Time after which nothing more may reach an evacuated failure
   *     domain; absent for the default.
   */
  constructor(evacuationMs?: number) {
    this.evacuations = new EvacuatedDomains(evacuationMs);
  }

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
   * newer configuration counts, and evacuations that are not known yet.
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
    this.applyEvacuatedDomains(snapshot, nowMs);
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

  /**
   * Applies the evacuations of a delta, whatever the current position. Those of a
   * delta that does not follow what is known begin, but none ends by it.
   */
  applyEvacuations(delta: SiteDelta, nowMs: number): void {
    const {epoch, revision, evacuated, restored, evacuationAgeMs} = delta;
    const {evacuations} = this;
    if (comparePositions(delta, evacuations.position) >= 0) {
      evacuations.hold(delta.heldEvacuations ?? [], nowMs);
    }
    if (evacuated === undefined || restored === undefined) return;
    if (comparePositions(delta, evacuations.position) <= 0) return;
    const followsKnown = leadsOn(delta, evacuations.position);
    const position = {epoch, revision};
    for (const domain of evacuated) {
      evacuations.add(domain, position, evacuationAgeMs ?? Infinity, nowMs);
    }
    if (!followsKnown) return;
    for (const domain of restored) evacuations.remove(domain);
    evacuations.advance(position);
  }

  /** Whether evacuations may have begun or ended up to the position unnoticed. */
  get lacksEvacuations(): boolean {
    return comparePositions(this.evacuations.position, this.position) < 0;
  }

  /** Snapshot with which a peer reaches this position; cold times are those left. */
  createSnapshot(nowMs: number): SiteSnapshot {
    const configuration = this.activeRules?.configuration;
    return {
      ...this.currentPosition,
      ...(configuration && {configuration}),
      upstreams: this.upstreams.listAged(nowMs),
      ...this.describeEvacuations(),
    };
  }

  private describeEvacuations(): Partial<SiteSnapshot> {
    const {evacuations, position} = this;
    const {epoch, revision} = evacuations.position;
    if (epoch !== position.epoch) return {};
    return {
      evacuatedDomains: evacuations.list(),
      ...(revision !== position.revision && {evacuationRevision: revision}),
    };
  }

  private applyEvacuatedDomains(snapshot: SiteSnapshot, nowMs: number): void {
    const {evacuations} = this;
    const {epoch, evacuatedDomains, evacuationRevision} = snapshot;
    if (evacuatedDomains === undefined) return;
    const position = {
      epoch,
      revision: evacuationRevision ?? snapshot.revision,
    };
    const known = evacuations.position;
    if (comparePositions(position, known) < 0) return;
    const isCopy = epoch > known.epoch && known.revision > 0;
    if (isCopy) evacuations.rebase(evacuatedDomains, position, nowMs);
    else evacuations.replace(evacuatedDomains, position, nowMs);
  }

  private adoptIfNewer(configuration: SiteSnapshot['configuration']): boolean {
    if (configuration === undefined) return false;
    if (configuration.version <= this.version) return false;
    this.activeRules = new SiteRules(configuration);
    return true;
  }
}
