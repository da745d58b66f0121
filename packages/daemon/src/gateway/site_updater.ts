import {
  comparePositions,
  type SiteChange,
  type SiteReplica,
  type SiteSnapshot,
  type StorePosition,
} from '@parsleywood/forwarding';
import type {Clock} from '../host/clock.js';
import type {EventLog} from '../host/event_log.js';

/**
 * Time after a failed store call within which a missing entry may have
 * expired because of the outage instead of having been removed.
 */
const EXPIRY_WINDOW_MS = 8_000;

/** Applies published state from store and peers to the replica. */
export class SiteUpdater {
  private storeFailedAtMs = -Infinity;
  private storeRespondedAtMs = -Infinity;

  /** @param onChanged Called after upstreams or configuration may have changed. */
  constructor(
    private readonly replica: SiteReplica,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly onChanged: () => void,
  ) {}

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
    if (hasResponded) this.storeRespondedAtMs = this.clock.nowMs();
    else this.storeFailedAtMs = this.clock.nowMs();
  }

  /**
   * Applies a snapshot.
   *
   * @param origin Source of the snapshot, for the log.
   * @return Whether it is as late as what was known.
   */
  applySnapshot(snapshot: SiteSnapshot, origin: string): boolean {
    const {replica} = this;
    const before = replica.position;
    const isNew = replica.applySnapshot(
      snapshot,
      this.clock.nowMs(),
      this.mayHaveExpired(),
    );
    const upstreams = snapshot.upstreams.length;
    this.log.info('site_loaded', {
      origin,
      before: before.revision,
      beforeEpoch: before.epoch,
      ...replica.position,
      upstreams,
    });
    this.notifyChanged(isNew);
    return comparePositions(snapshot, before) >= 0;
  }

  applyChange(change: SiteChange): void {
    const {replica} = this;
    if (comparePositions(change, replica.position) <= 0) return;
    const isNew = replica.applyChange(
      change,
      this.clock.nowMs(),
      this.mayHaveExpired(),
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
