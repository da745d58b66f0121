import {setTimeout as pause} from 'node:timers/promises';
import type {EventLog} from '../host/event_log.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {SiteUpdater} from './site_updater.js';
import type {SiteSource} from './site_source.js';
import {SiteSourceErrorKind} from './site_source_error_kind.js';

/** Initial and maximum backoff after failed calls, in milliseconds. */
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 800;
/**
 * Delay before the next call after a change, for each host of the site. It
 * batches a burst of changes, which would otherwise cost one call per host and
 * change. The delay is 325 ms at 65 hosts, and at most a sixth of the 2.5 s
 * within which a change must take effect.
 */
const CHANGE_DELAY_PER_HOST_MS = 5;
const MAX_CHANGE_DELAY_MS = 400;

/** Loads and then watches the published state, until stopped. */
export class SiteWatcher {
  private failures = 0;
  private needsLoad = true;
  private isStopped = false;

  /**
   * @param countHosts Returns the number of hosts that read the same store.
   * @param draw Returns a random number in [0, 1), which adds jitter to the
   *     backoff.
   */
  constructor(
    private readonly source: SiteSource,
    private readonly updater: SiteUpdater,
    private readonly log: EventLog,
    private readonly metrics: GatewayMetrics,
    private readonly countHosts: () => number,
    private readonly draw: () => number,
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
      const isDone = this.needsLoad ? await this.load() : await this.watch();
      if (isDone) continue;
      const backoffMs = Math.min(
        MAX_BACKOFF_MS,
        INITIAL_BACKOFF_MS * 2 ** this.failures,
      );
      const pauseMs = (backoffMs * (1 + this.draw())) / 2;
      await pause(pauseMs);
    }
  }

  private async load(): Promise<boolean> {
    const result = await this.source.load();
    if (result.isErr) {
      return this.recordFailure('load', result.error.kind, result.error.detail);
    }
    this.recordSuccess('load');
    this.needsLoad = false;
    this.updater.applySnapshot(result.value, 'store');
    return true;
  }

  private async watch(): Promise<boolean> {
    const result = await this.source.watch(this.updater.revision);
    if (result.isErr) {
      return this.recordFailure(
        'watch',
        result.error.kind,
        result.error.detail,
      );
    }
    this.recordSuccess('watch');
    const hasChanges = result.value.revision > this.updater.revision;
    this.updater.applyChange(result.value);
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

  private recordSuccess(call: string): void {
    this.metrics.storeCalls.inc({call, outcome: 'ok'});
    if (this.failures > 0) {
      this.log.info('store_regained', {call, failures: this.failures});
    }
    this.failures = 0;
    this.updater.recordStoreCall(true);
  }

  private recordFailure(
    call: string,
    kind: SiteSourceErrorKind,
    detail: string,
  ): false {
    if (this.isStopped) return false;
    this.metrics.storeCalls.inc({call, outcome: kind});
    if (kind === SiteSourceErrorKind.HISTORY_LOST) {
      this.log.info('store_history_lost', {revision: this.updater.revision});
      this.needsLoad = true;
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
