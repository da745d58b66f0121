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
import type {UpstreamListener} from './upstream_listener.js';
import type {UpstreamPools} from './upstream_pools.js';

const PROBE_PATH = '/healthz';
const PROBE_TIMEOUT_MS = 1_000;
const DOWN_TIMEOUT_MS = 300;
const GONE = new Set(['ECONNREFUSED', 'ECONNRESET', 'UND_ERR_SOCKET']);

/** Keeps track of which upstreams may get work from this host. */
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
      this.probeDue();
    });
  }

  /** Whether the upstream may get new work. */
  isUsable(upstream: string): boolean {
    return this.liveness.stateOf(upstream) === UpstreamState.USABLE;
  }

  stateOf(upstream: string): UpstreamState {
    return this.liveness.stateOf(upstream);
  }

  takeList(list: UpstreamList, revision: number): void {
    this.liveness.applyList(list, revision, this.clock.nowMs());
    this.settle();
  }

  noteSuccess(upstream: string): void {
    this.liveness.recordSuccess(upstream, this.clock.nowMs());
    this.settle();
  }

  /** Takes a fault that is the upstream's, not the request's. */
  noteFailure(upstream: string): void {
    const wasUsable = this.isUsable(upstream);
    this.liveness.recordFailure(upstream, this.clock.nowMs());
    this.settle();
    if (wasUsable && !this.isUsable(upstream)) {
      this.listener.onUpstreamNews(upstream, UpstreamNews.FAILED);
    }
  }

  /** Takes the upstream's own word that it is leaving. */
  noteLeaving(upstream: string): void {
    this.liveness.recordRefusal(upstream, this.clock.nowMs());
    this.settle();
    this.listener.onUpstreamNews(upstream, UpstreamNews.LEAVING);
  }

  /** Takes a peer's word. */
  takeWord(upstream: string, news: UpstreamNews): void {
    this.liveness.recordPeerReport(upstream, news, this.clock.nowMs());
    this.settle();
  }

  /** Whether the upstream's process is gone: its address refuses connections. */
  async isDown(upstream: string): Promise<boolean> {
    const outcome = await this.ask(upstream, DOWN_TIMEOUT_MS);
    return outcome === ProbeOutcome.GONE;
  }

  stop(): void {
    this.timer.clear();
  }

  private settle(): void {
    const changes = this.liveness.takeChanges();
    for (const {upstream, state} of changes) {
      this.log.info('upstream_changed', {upstream, state});
    }
    if (changes.length > 0) this.listener.onUpstreamsChanged(changes);
    this.timer.set(this.liveness.wakeAtMs());
  }

  private probeDue(): void {
    for (const upstream of this.liveness.takeDueProbes(this.clock.nowMs())) {
      void this.probe(upstream);
    }
    this.settle();
  }

  private async probe(upstream: string): Promise<void> {
    const outcome = await this.ask(upstream, PROBE_TIMEOUT_MS);
    const isUp = outcome === ProbeOutcome.UP;
    this.liveness.recordProbeOutcome(upstream, isUp, this.clock.nowMs());
    this.settle();
  }

  private async ask(
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
      await answer.body.dump();
      return answer.statusCode === 200 ? ProbeOutcome.UP : ProbeOutcome.SILENT;
    } catch (error) {
      const code = (error as NodeJS.ErrnoException).code ?? '';
      return GONE.has(code) ? ProbeOutcome.GONE : ProbeOutcome.SILENT;
    }
  }
}
