import type {
  SiteChange,
  SiteReplica,
  SiteSnapshot,
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

  get revision(): number {
    return this.replica.revision;
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

  /** @param origin Source of the snapshot, for the log. */
  applySnapshot(snapshot: SiteSnapshot, origin: string): void {
    const {replica} = this;
    const before = replica.revision;
    const isNew = replica.applySnapshot(
      snapshot,
      this.clock.nowMs(),
      this.mayHaveExpired(),
    );
    const upstreams = snapshot.upstreams.length;
    this.log.info('site_loaded', {
      origin,
      before,
      revision: replica.revision,
      upstreams,
    });
    this.notifyChanged(isNew);
  }

  applyChange(change: SiteChange): void {
    const {replica} = this;
    if (change.revision <= replica.revision) return;
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
        revision: change.revision,
      });
    }
    for (const upstream of change.removed) {
      this.log.info('upstream_removed', {upstream, revision: change.revision});
    }
    this.notifyChanged(isNew);
  }

  private notifyChanged(isNewConfiguration: boolean): void {
    const version = this.replica.rules?.configuration.version;
    if (isNewConfiguration) {
      this.log.info('configuration_in_force', {
        version,
        revision: this.revision,
      });
    }
    this.onChanged();
  }

  private mayHaveExpired(): boolean {
    return this.clock.nowMs() - this.storeFailedAtMs < EXPIRY_WINDOW_MS;
  }
}
