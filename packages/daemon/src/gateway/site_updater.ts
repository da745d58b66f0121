import type {
  SiteChange,
  SiteLedger,
  SiteSnapshot,
} from '@parsleywood/forwarding';
import type {Clock} from '../host/clock.js';
import type {EventLog} from '../host/event_log.js';

/** How long after a failed call an entry that vanished may have lapsed. */
const LAPSE_DOUBT_MS = 8_000;

/** Puts what store and peers tell into the ledger, and tells of changes. */
export class SiteKeeper {
  private storeFailedAtMs = -Infinity;
  private confirmedAtMs = -Infinity;

  /** @param onChanged Told after upstreams or configuration changed. */
  constructor(
    private readonly ledger: SiteLedger,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly onChanged: () => void,
  ) {}

  get revision(): number {
    return this.ledger.revision;
  }

  /** Whether the store answered this host's last call. */
  get hasStore(): boolean {
    return this.storeFailedAtMs < this.confirmedAtMs;
  }

  /** Time since the store last answered, in milliseconds. */
  ageMs(): number {
    return Math.round(this.clock.nowMs() - this.confirmedAtMs);
  }

  noteStore(hasAnswered: boolean): void {
    if (hasAnswered) this.confirmedAtMs = this.clock.nowMs();
    else this.storeFailedAtMs = this.clock.nowMs();
  }

  /** @param origin Who told it, for the log. */
  takeSnapshot(snapshot: SiteSnapshot, origin: string): void {
    const {ledger} = this;
    const before = ledger.revision;
    const isNew = ledger.takeSnapshot(
      snapshot,
      this.clock.nowMs(),
      this.mayHaveLapsed(),
    );
    const upstreams = snapshot.upstreams.length;
    this.log.info('site_loaded', {
      origin,
      before,
      revision: ledger.revision,
      upstreams,
    });
    this.tell(isNew);
  }

  takeChange(change: SiteChange): void {
    const {ledger} = this;
    if (change.revision <= ledger.revision) return;
    const isNew = ledger.takeChange(
      change,
      this.clock.nowMs(),
      this.mayHaveLapsed(),
    );
    for (const {id, stage, service} of change.written) {
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
    this.tell(isNew);
  }

  private tell(isNewConfiguration: boolean): void {
    const version = this.ledger.rules?.configuration.version;
    if (isNewConfiguration) {
      this.log.info('configuration_in_force', {
        version,
        revision: this.revision,
      });
    }
    this.onChanged();
  }

  private mayHaveLapsed(): boolean {
    return this.clock.nowMs() - this.storeFailedAtMs < LAPSE_DOUBT_MS;
  }
}
