import {
  UpstreamLiveness,
  UpstreamNews,
  UpstreamState,
} from '@parsleywood/membership';
import type {UpstreamList} from '@parsleywood/schema/upstream_list';
import type {Clock} from '../host/clock.js';
import type {EventLog} from '../host/event_log.js';
import {ProbeOutcome} from './probe_outcome.js';
import type {SiteView} from '../host/site_view.js';
import {Timer} from '../host/timer.js';
import {readStatus} from './read_status.js';
import type {UpstreamListener} from './upstream_listener.js';
import type {UpstreamPools} from './upstream_pools.js';

const PROBE_PATH = '/healthz';
const PROBE_TIMEOUT_MS = 1_000;
const DOWN_CHECK_TIMEOUT_MS = 300;
/** Errors that show that the upstream's process is gone. */
const DOWN_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'ECONNRESET',
  'UND_ERR_SOCKET',
]);

/**
 * Tracks which upstreams may receive work from this host, from the results of
 * calls, health probes and reports of peers.
 */
export class UpstreamControl {
  private readonly liveness: UpstreamLiveness;
  private readonly timer: Timer;

  constructor(
    private readonly clock: Clock,
    private readonly site: SiteView,
    private readonly pools: UpstreamPools,
    private readonly log: EventLog,
    seed: number,
    private readonly listener: UpstreamListener,
  ) {
    this.liveness = new UpstreamLiveness(seed);
    this.timer = new Timer(clock, () => {
      this.startDueProbes();
    });
  }

  /** Whether the upstream may receive new work. */
  isUsable(upstream: string): boolean {
    return this.liveness.stateOf(upstream) === UpstreamState.USABLE;
  }

  stateOf(upstream: string): UpstreamState {
    return this.liveness.stateOf(upstream);
  }

  takeList(list: UpstreamList, revision: number): void {
    this.liveness.applyList(list, revision, this.clock.nowMs());
    this.publishChanges();
  }

  noteSuccess(upstream: string): void {
    this.liveness.recordSuccess(upstream, this.clock.nowMs());
    this.publishChanges();
  }

  /** Records a failed call whose cause is the upstream, not the request. */
  noteFailure(upstream: string): void {
    const wasUsable = this.isUsable(upstream);
    this.liveness.recordFailure(upstream, this.clock.nowMs());
    this.publishChanges();
    if (wasUsable && !this.isUsable(upstream)) {
      this.listener.onUpstreamNews(upstream, UpstreamNews.FAILED);
    }
  }

  /** Records that the upstream refused a call because it is shutting down. */
  recordLeaving(upstream: string): void {
    this.liveness.recordRefusal(upstream, this.clock.nowMs());
    this.publishChanges();
    this.listener.onUpstreamNews(upstream, UpstreamNews.LEAVING);
  }

  /** Applies a peer's report about an upstream. */
  takeWord(upstream: string, news: UpstreamNews): void {
    this.liveness.recordPeerReport(upstream, news, this.clock.nowMs());
    this.publishChanges();
  }

  /** Whether the upstream's process is gone: it refuses or resets connections. */
  async isDown(upstream: string): Promise<boolean> {
    const outcome = await this.sendProbe(upstream, DOWN_CHECK_TIMEOUT_MS);
    return outcome === ProbeOutcome.GONE;
  }

  stop(): void {
    this.timer.clear();
  }

  private publishChanges(): void {
    const changes = this.liveness.takeChanges();
    for (const {upstream, state} of changes) {
      this.log.info('upstream_changed', {upstream, state});
    }
    if (changes.length > 0) this.listener.onUpstreamsChanged(changes);
    this.timer.set(this.liveness.wakeAtMs());
  }

  private startDueProbes(): void {
    for (const upstream of this.liveness.takeDueProbes(this.clock.nowMs())) {
      void this.probe(upstream);
    }
    this.publishChanges();
  }

  private async probe(upstream: string): Promise<void> {
    const outcome = await this.sendProbe(upstream, PROBE_TIMEOUT_MS);
    const isUp = outcome === ProbeOutcome.UP;
    this.liveness.recordProbeOutcome(upstream, isUp, this.clock.nowMs());
    this.publishChanges();
  }

  private async sendProbe(
    upstream: string,
    timeoutMs: number,
  ): Promise<ProbeOutcome> {
    const listed = this.site.upstream(upstream);
    if (listed === undefined) return ProbeOutcome.SILENT;
    try {
      const answer = await this.pools.get(listed.address).request({
        method: 'GET',
        path: PROBE_PATH,
        signal: AbortSignal.timeout(timeoutMs),
      });
      // A body that breaks off shows neither that the process is up nor that it is gone.
      const status = await readStatus(answer).catch(() => undefined);
      return status === 200 ? ProbeOutcome.UP : ProbeOutcome.SILENT;
    } catch (error) {
      const code = (error as NodeJS.ErrnoException).code ?? '';
      return DOWN_ERROR_CODES.has(code)
        ? ProbeOutcome.GONE
        : ProbeOutcome.SILENT;
    }
  }
}
