import {
  comparePositions,
  compareSnapshots,
  leadsOn,
  type SiteChange,
  type SiteDelta,
  type SiteReplica,
  type SiteSnapshot,
  type StorePosition,
} from '@parsleywood/forwarding';
import type {Clock} from '../../host/clock.js';
import type {EventLog} from '../../host/event_log.js';
import {EvacuationSync} from './evacuation_sync.js';

/**
 * Time after a failed store call within which a missing entry may have
 * expired because of the outage instead of having been removed.
 */
const EXPIRY_WINDOW_MS = 8_000;
/** Applies published state from store and peers to the replica. */
export class SiteUpdater {
  private storeFailedAtMs = -Infinity;
  private storeRespondedAtMs = -Infinity;
  readonly evacuations: EvacuationSync;

  /**
   * @param onChanged Called after upstreams or configuration may have changed.
   * @param onAdvanced Called with each change that has been applied. A later epoch
   *     is not told, as no change leads there.
   */
  constructor(
    private readonly replica: SiteReplica,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly onChanged: () => void,
    private readonly onAdvanced: (delta: SiteDelta) => void = () => undefined,
  ) {
    this.evacuations = new EvacuationSync(replica, clock, log);
  }

  get position(): StorePosition {
    return this.replica.position;
  }

  /** Version of the configuration in force; 0 for none. */
  get version(): number {
    return this.replica.version;
  }

  /** Whether the store responded to this host's last call. */
  get isStoreReachable(): boolean {
    return this.storeFailedAtMs < this.storeRespondedAtMs;
  }

  /** Time since the store last responded, in milliseconds. */
  getStoreAgeMs(): number {
    return Math.round(this.clock.nowMs() - this.storeRespondedAtMs);
  }

  recordStoreCall(hasResponded: boolean): void {
    const nowMs = this.clock.nowMs();
    if (!hasResponded) {
      this.storeFailedAtMs = nowMs;
      return;
    }
    const gapMs = nowMs - this.storeRespondedAtMs;
    this.evacuations.recordResponse(gapMs, !this.isStoreReachable);
    this.storeRespondedAtMs = nowMs;
  }

  /**
   * Applies a snapshot.
   *
   * @param origin Source of the snapshot, for the log.
   * @return Whether it is as late as what was known.
   */
  applySnapshot(snapshot: SiteSnapshot, origin: string): boolean {
    return this.replaceAll(snapshot, origin, this.mayHaveExpired());
  }

  private replaceAll(
    snapshot: SiteSnapshot,
    origin: string,
    mayHaveExpired: boolean,
  ): boolean {
    const {replica} = this;
    const known = replica.createSnapshot(this.clock.nowMs());
    const before = replica.position;
    const completed = this.evacuations.completeSnapshot(snapshot, origin);
    const isNew = replica.applySnapshot(
      completed,
      this.clock.nowMs(),
      mayHaveExpired,
    );
    const upstreams = snapshot.upstreams.length;
    this.log.info('site_loaded', {
      origin,
      before: before.revision,
      beforeEpoch: before.epoch,
      ...replica.position,
      upstreams,
    });
    this.evacuations.recordChanges(origin);
    this.notifyChanged(isNew);
    if (
      snapshot.epoch === before.epoch &&
      snapshot.revision > before.revision
    ) {
      this.onAdvanced({
        ...compareSnapshots(known, completed),
        fromRevision: before.revision,
        mayHaveExpired,
        isDifference: true,
      });
    }
    return comparePositions(snapshot, before) >= 0;
  }

  /**
   * Applies a change that a peer passed on.
   *
   * @param origin Peer that passed it on, for the log.
   * @return Whether it leads on from what is known, or is known already.
   */
  applyDelta(delta: SiteDelta, origin: string): boolean {
    const {position} = this.replica;
    if (comparePositions(delta, position) <= 0) {
      this.applyEvacuations(delta, origin);
      return true;
    }
    const mayHaveExpired = delta.mayHaveExpired || this.mayHaveExpired();
    if (delta.epoch === position.epoch && delta.fromRevision === 0) {
      // A host that has just started knew of nothing that it could call removed.
      const {evacuated, updated: upstreams} = delta;
      const snapshot = {
        ...delta,
        upstreams,
        ...(evacuated && {evacuatedDomains: evacuated}),
      };
      return this.replaceAll(snapshot, origin, mayHaveExpired);
    }
    if (!leadsOn(delta, position)) {
      this.applyEvacuations(delta, origin);
      return false;
    }
    this.apply({...delta, mayHaveExpired}, origin);
    return true;
  }

  /** Applies all that the store has published since the position of the watch. */
  applyChange(change: SiteChange): void {
    const delta = this.evacuations.completeChange(
      change,
      this.mayHaveExpired(),
    );
    const isLater = comparePositions(change, this.replica.position) > 0;
    if (isLater) this.apply(delta, 'store');
    else this.applyEvacuations(delta, 'store');
  }

  /** Applies the evacuations alone of a delta, and passes on what was not known. */
  private applyEvacuations(delta: SiteDelta, origin: string): void {
    if (this.evacuations.applyDelta(delta, origin)) this.onAdvanced(delta);
  }

  private apply(change: SiteDelta, origin: string): void {
    const {replica} = this;
    const before = replica.position;
    this.evacuations.applyDelta(change, origin);
    const isNew = replica.applyChange(
      change,
      this.clock.nowMs(),
      change.mayHaveExpired,
    );
    for (const {id, stage, service} of change.updated) {
      this.log.info('upstream_listed', {
        upstream: id,
        stage,
        service,
        ...replica.position,
      });
    }
    for (const upstream of change.removed) {
      this.log.info('upstream_removed', {upstream, ...replica.position});
    }
    this.notifyChanged(isNew);
    if (change.epoch !== before.epoch) return;
    this.onAdvanced(change);
  }

  private notifyChanged(isNewConfiguration: boolean): void {
    const version = this.replica.rules?.configuration.version;
    if (isNewConfiguration) {
      this.log.info('configuration_in_force', {
        version,
        ...this.position,
      });
    }
    this.onChanged();
  }

  private mayHaveExpired(): boolean {
    return this.clock.nowMs() - this.storeFailedAtMs < EXPIRY_WINDOW_MS;
  }
}
