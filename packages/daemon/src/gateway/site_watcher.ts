import {setTimeout as pause} from 'node:timers/promises';
import type {EventLog} from '../host/event_log.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {SiteKeeper} from './site_updater.js';
import type {SiteSource} from './site_source.js';
import {SourceFaultKind} from './source_fault_kind.js';

/** First and longest pause after a failed call, in milliseconds. */
const FIRST_PAUSE_MS = 50;
const MAX_PAUSE_MS = 800;
/**
 * Pause after changes, for each host of the site, so that a wave of changes is not
 * one call a host and change: 325 ms at 65 hosts, and at most a sixth of the 2.5 s
 * that a change may take.
 */
const REST_PER_HOST_MS = 5;
const MAX_REST_MS = 400;

/** Follows what the store publishes, for as long as the process runs. */
export class SiteFollower {
  private failures = 0;
  private mustLoad = true;
  private isStopped = false;

  /**
   * @param countHosts Number of hosts that read the same store.
   * @param draw Draws a number between 0 and 1, which spreads the pauses.
   */
  constructor(
    private readonly source: SiteSource,
    private readonly keeper: SiteKeeper,
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
      const isDone = this.mustLoad ? await this.load() : await this.watch();
      if (isDone) continue;
      const longestMs = Math.min(
        MAX_PAUSE_MS,
        FIRST_PAUSE_MS * 2 ** this.failures,
      );
      const pauseMs = (longestMs * (1 + this.draw())) / 2;
      await pause(pauseMs);
    }
  }

  private async load(): Promise<boolean> {
    const result = await this.source.load();
    if (result.isErr) {
      return this.takeFault('load', result.error.kind, result.error.detail);
    }
    this.takeAnswer('load');
    this.mustLoad = false;
    this.keeper.takeSnapshot(result.value, 'store');
    return true;
  }

  private async watch(): Promise<boolean> {
    const result = await this.source.watch(this.keeper.revision);
    if (result.isErr) {
      return this.takeFault('watch', result.error.kind, result.error.detail);
    }
    this.takeAnswer('watch');
    const isNews = result.value.revision > this.keeper.revision;
    this.keeper.takeChange(result.value);
    if (isNews) {
      await pause(Math.min(MAX_REST_MS, this.countHosts() * REST_PER_HOST_MS));
    }
    return true;
  }

  private takeAnswer(call: string): void {
    this.metrics.storeCalls.inc({call, outcome: 'ok'});
    if (this.failures > 0) {
      this.log.info('store_regained', {call, failures: this.failures});
    }
    this.failures = 0;
    this.keeper.noteStore(true);
  }

  private takeFault(
    call: string,
    kind: SourceFaultKind,
    detail: string,
  ): false {
    if (this.isStopped) return false;
    this.metrics.storeCalls.inc({call, outcome: kind});
    if (kind === SourceFaultKind.HISTORY_LOST) {
      this.log.info('store_history_lost', {revision: this.keeper.revision});
      this.mustLoad = true;
    } else if (this.failures === 0) {
      this.log.warn('store_lost', {
        call,
        kind,
        detail,
        ageMs: this.keeper.ageMs(),
      });
    }
    this.failures++;
    this.keeper.noteStore(kind === SourceFaultKind.HISTORY_LOST);
    return false;
  }
}
