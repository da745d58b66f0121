import {setTimeout as pause} from 'node:timers/promises';
import {comparePositions, type StorePosition} from '@parsleywood/forwarding';
import type {EventLog} from '../../host/event_log.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {SiteUpdater} from './site_updater.js';
import type {SiteSource} from './site_source.js';
import {SiteSourceErrorKind} from './site_source_error_kind.js';

/** Initial and maximum backoff after failed calls, in milliseconds. */
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 800;
/**
 * Maximum backoff for each host of the site, so that the calls to a store that is
 * away grow no further with the site: some 100 a second.
 */
const MAX_BACKOFF_PER_HOST_MS = 10;
const LONGEST_BACKOFF_MS = 2_000;
/**
 * Time limit of a load while this host has no configuration and refuses all callers.
 * A store that was silent is read sooner after its return. Each third load has the
 * usual limit, as a slow store may take longer.
 */
const START_LOAD_LIMIT_MS = 400;
const START_LOADS = 3;
/** Interval at which a host without duty checks whether it has to watch. */
const DUTY_CHECK_INTERVAL_MS = 300;
/**
 * Delay before the next call after a change, for each host of the site. It
 * batches a burst of changes, which would otherwise cost one call per host and
 * change. The delay is 325 ms at 65 hosts, and at most a sixth of the 2.5 s
 * within which a change must take effect.
 */
const CHANGE_DELAY_PER_HOST_MS = 5;
const MAX_CHANGE_DELAY_MS = 400;
/**
 * Time within which the hosts load all anew when the store's history is lost to all
 * of them, for each host of the site. A few load early; the others learn of it from
 * them and need not.
 */
const RELOAD_SPREAD_PER_HOST_MS = 6;
const MAX_RELOAD_SPREAD_MS = 1_800;
/**
 * Time for which a host waits for a peer to tell the evacuations that a peer of an
 * earlier version left out, before it loads all. Peers are asked after 1 s.
 */
const EVACUATION_WAIT_MS = 1_500;

/**
 * Loads the published state and then watches it while that is this host's duty,
 * until stopped.
 */
export class SiteWatcher {
  private failures = 0;
  private needsLoad = true;
  private isStopped = false;
  private listDelayMs: number | undefined;

  /**
   * @param countHosts Returns the number of hosts that read the same store.
   * @param draw Returns a random number in [0, 1), which adds jitter to the
   *     backoff.
   * @param mustWatch Returns whether this host watches the store, or learns of
   *     changes from a peer.
   */
  constructor(
    private readonly source: SiteSource,
    private readonly updater: SiteUpdater,
    private readonly log: EventLog,
    private readonly metrics: GatewayMetrics,
    private readonly countHosts: () => number,
    private readonly draw: () => number,
    private readonly mustWatch: () => boolean = () => true,
  ) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.isStopped = true;
    this.source.close();
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      if (!this.needsLoad && !this.mustWatch()) {
        await pause(DUTY_CHECK_INTERVAL_MS);
        continue;
      }
      if (await this.runOnce()) continue;
      const backoffMs = Math.min(
        this.getMaxBackoffMs(),
        INITIAL_BACKOFF_MS * 2 ** this.failures,
      );
      const pauseMs = (backoffMs * (1 + this.draw())) / 2;
      await pause(pauseMs);
    }
  }

  /**
   * Loads or watches once. What cannot be applied must not end the watching; all is
   * loaded anew, as it may be applied in part.
   */
  private async runOnce(): Promise<boolean> {
    try {
      this.needsLoad ||= this.isListDue();
      return await (this.needsLoad ? this.load() : this.watch());
    } catch (error) {
      const reason = error instanceof Error ? error.stack : String(error);
      this.log.error('site_update_failed', {reason, ...this.updater.position});
      this.needsLoad = true;
      this.failures++;
      return false;
    }
  }

  private getMaxBackoffMs(): number {
    const spreadMs = this.countHosts() * MAX_BACKOFF_PER_HOST_MS;
    return Math.max(MAX_BACKOFF_MS, Math.min(LONGEST_BACKOFF_MS, spreadMs));
  }

  /** Undefined for the usual limit of the source. */
  private getLoadLimitMs(): number | undefined {
    if (this.updater.version > 0) return undefined;
    const isLong = this.failures % START_LOADS === START_LOADS - 1;
    return isLong ? undefined : START_LOAD_LIMIT_MS;
  }

  private async load(): Promise<boolean> {
    const result = await this.source.load(this.getLoadLimitMs());
    if (result.isErr) {
      return this.recordFailure('load', result.error.kind, result.error.detail);
    }
    const isApplied = this.updater.applySnapshot(result.value, 'store');
    this.recordResponse('load', isApplied);
    this.needsLoad = false;
    return isApplied;
  }

  private async watch(): Promise<boolean> {
    const before = this.updater.evacuations.watchPosition;
    // A store that was away may have come back from a copy, and a waiting watch
    // does not tell that until something changes.
    const isProbe = this.failures > 0;
    const result = await this.source.watch(before.revision, isProbe);
    if (result.isErr) {
      const {kind, detail} = result.error;
      this.recordFailure('watch', kind, detail);
      if (kind === SiteSourceErrorKind.HISTORY_LOST) {
        await this.planReload(before);
      }
      return false;
    }
    const change = result.value;
    const isLate = change.epoch < before.epoch;
    this.recordResponse('watch', !isLate);
    if (isLate) return false;
    if (change.epoch > before.epoch) {
      this.log.warn('store_restored', {...before, newEpoch: change.epoch});
      await this.planReload(before);
      return true;
    }
    const hasChanges =
      comparePositions(change, this.updater.evacuations.watchPosition) > 0;
    this.updater.applyChange(change);
    if (hasChanges) {
      await pause(
        Math.min(
          MAX_CHANGE_DELAY_MS,
          this.countHosts() * CHANGE_DELAY_PER_HOST_MS,
        ),
      );
    }
    return true;
  }

  /**
   * Loads all anew, unless a peer tells of a later position first.
   *
   * @param lostAt Position after which the changes cannot be read.
   */
  private async planReload(lostAt: StorePosition): Promise<void> {
    await pause(this.drawReloadDelayMs());
    this.needsLoad =
      comparePositions(this.updater.evacuations.watchPosition, lostAt) <= 0;
  }

  private drawReloadDelayMs(): number {
    const spreadMs = Math.min(
      MAX_RELOAD_SPREAD_MS,
      this.countHosts() * RELOAD_SPREAD_PER_HOST_MS,
    );
    return spreadMs * Math.cbrt(this.draw());
  }

  /** Whether this host loads all anew, as no peer has told it the evacuations. */
  private isListDue(): boolean {
    const lackMs = this.updater.evacuations.measureListLackMs();
    if (lackMs === undefined) {
      this.listDelayMs = undefined;
      return false;
    }
    this.listDelayMs ??= EVACUATION_WAIT_MS + this.drawReloadDelayMs();
    return lackMs >= this.listDelayMs;
  }

  /** @param isProgress Whether failures before are over with this response. */
  private recordResponse(call: string, isProgress: boolean): void {
    this.metrics.storeCalls.inc({call, outcome: 'ok'});
    this.updater.recordStoreCall(true);
    if (!isProgress) {
      this.failures++;
      return;
    }
    if (this.failures > 0) {
      this.log.info('store_regained', {call, failures: this.failures});
    }
    this.failures = 0;
  }

  private recordFailure(
    call: string,
    kind: SiteSourceErrorKind,
    detail: string,
  ): false {
    if (this.isStopped) return false;
    this.metrics.storeCalls.inc({call, outcome: kind});
    if (kind === SiteSourceErrorKind.HISTORY_LOST) {
      this.log.info('store_history_lost', {...this.updater.position});
    } else if (this.failures === 0) {
      this.log.warn('store_lost', {
        call,
        kind,
        detail,
        ageMs: this.updater.getStoreAgeMs(),
      });
    }
    this.failures++;
    this.updater.recordStoreCall(kind === SiteSourceErrorKind.HISTORY_LOST);
    return false;
  }
}
