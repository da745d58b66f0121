import type {ListedUpstream} from '@parsleywood/schema/upstream_list';
import {RouterEventKind} from '@parsleywood/routing';
import type {Clock} from '../host/clock.js';
import type {EngineReport} from './engine_report.js';
import type {EngineTraffic} from './engine_traffic.js';
import type {HostMetrics} from '../host/host_metrics.js';
import type {SiteView} from '../host/site_view.js';
import {readLimitedJson} from './read_limited_json.js';
import type {UpstreamPools} from './upstream_pools.js';

const POLL_INTERVAL_MS = 500;
const POLL_TIMEOUT_MS = 1_000;
const RESTART_WINDOW_MS = 2_000;

/** State derived from the load reports of one engine. */
interface ReportState {
  /** Incarnation in the last report; a different one means a restart. */
  incarnation: string;
  /** Monotonic time at which the last restart was detected. */
  lastRestartMs: number;
  /**
   * Smallest difference seen between this host's monotonic clock and the
   * engine's clock, in milliseconds.
   */
  clockOffsetMs: number;
}

/** Polls the load reports of the engines and passes them to the router. */
export class LoadFeed {
  private readonly states = new Map<string, ReportState>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly site: SiteView,
    private readonly pools: UpstreamPools,
    private readonly traffic: EngineTraffic,
    private readonly isUsable: (upstream: string) => boolean,
    private readonly metrics: HostMetrics,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      this.pollAll();
    }, POLL_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Whether an engine has restarted within the last `RESTART_WINDOW_MS`. Polls
   * the engine first.
   */
  async hasRestarted(upstream: string): Promise<boolean> {
    const listed = this.site.upstream(upstream);
    if (listed !== undefined) await this.poll(listed);
    const lastRestartMs = this.states.get(upstream)?.lastRestartMs ?? -Infinity;
    return this.clock.nowMs() - lastRestartMs < RESTART_WINDOW_MS;
  }

  /** Polls each usable engine that has not yet sent a report. */
  pollNew(): void {
    for (const engine of this.listUsable()) {
      if (!this.states.has(engine.name)) void this.poll(engine);
    }
  }

  private listUsable(): ListedUpstream[] {
    return this.site
      .allUpstreams()
      .filter(({kind, name}) => kind === 'engine' && this.isUsable(name));
  }

  private pollAll(): void {
    for (const engine of this.listUsable()) {
      void this.poll(engine);
    }
  }

  private async poll({name, address}: ListedUpstream): Promise<void> {
    const sentMs = this.clock.nowMs();
    try {
      const answer = await this.pools.get(address).request({
        method: 'GET',
        path: '/v1/load',
        signal: AbortSignal.timeout(POLL_TIMEOUT_MS),
      });
      if (answer.statusCode === 200) {
        this.handleReport(
          name,
          (await readLimitedJson(answer.body)) as EngineReport,
          sentMs,
        );
        this.metrics.loadPolls.inc({outcome: 'ok'});
      } else {
        await answer.body.dump();
        this.metrics.loadPolls.inc({outcome: 'refused'});
      }
    } catch {
      // The router keeps the last report when a poll fails.
      this.metrics.loadPolls.inc({outcome: 'failed'});
    }
  }

  private handleReport(
    upstream: string,
    report: EngineReport,
    sentMs: number,
  ): void {
    const clockOffsetMs = sentMs - report.atMs;
    const {incarnation} = report;
    const state = this.states.get(upstream) ?? {
      ...{incarnation, clockOffsetMs, lastRestartMs: -Infinity},
    };
    if (incarnation !== state.incarnation) {
      state.incarnation = incarnation;
      state.lastRestartMs = this.clock.nowMs();
      state.clockOffsetMs = clockOffsetMs;
    }
    state.clockOffsetMs = Math.min(state.clockOffsetMs, clockOffsetMs);
    this.states.set(upstream, state);
    this.traffic.observe({
      kind: RouterEventKind.LOAD_REPORT,
      upstream,
      incarnation,
      sequence: report.sequence,
      takenAtMs: report.atMs + state.clockOffsetMs,
      queuedTokens: report.waitingTokens,
      decoding: report.running,
      usedTokens: report.usedTokens,
      longestPrefillTokens: report.longestPrefillTokens ?? report.waitingTokens,
    });
  }
}
