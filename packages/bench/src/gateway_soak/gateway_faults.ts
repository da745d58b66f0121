import {setTimeout as pause} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {CheckedUpstream} from './checked_upstream.js';
import type {GatewayFleet} from './gateway_fleet.js';
import type {GatewaySpan} from './gateway_span.js';
import type {GatewayStop} from './gateway_stop.js';
import {ProxyFault} from './proxy_fault.js';
import {SiteFaults} from './site_faults.js';
import {StopCause} from './stop_cause.js';

const FAULTS = [
  ProxyFault.DELAY,
  ProxyFault.RESET,
  ProxyFault.ONE_WAY,
  ProxyFault.SILENCE,
];
/** How a gateway loses its paths to all upstreams. */
const CUTS = [ProxyFault.SILENCE, ProxyFault.RESET, ProxyFault.REFUSE];
const MIN_GAP_MS = 50;
const MAX_GAP_MS = 900;
const MAX_FAULT_MS = 2_500;
const MIN_HOLD_MS = 700;
const MAX_HOLD_MS = 1_300;
const MIN_REST_MS = 1_000;
const MAX_REST_MS = 3_000;
const MIN_CUT_MS = 4_500;
const MAX_CUT_MS = 6_000;
const MAX_PAUSE_MS = 1_500;
const MAX_RELOADS = 4;
const MAX_RELOAD_GAP_MS = 300;

/** Injects faults from outside the gateways, in series and overlapping. */
export class GatewayFaults {
  readonly counts: Record<string, number> = {};
  readonly stops: GatewayStop[] = [];
  /** Times in which gateways had no path to upstreams. */
  readonly cuts: GatewaySpan[] = [];
  private readonly running = new Set<Promise<void>>();
  private readonly busy = new Set<number>();
  private readonly site: SiteFaults;

  constructor(
    private readonly fleet: GatewayFleet,
    private readonly gateways: number,
    private readonly upstreams: readonly CheckedUpstream[],
    private readonly random: RandomGenerator,
  ) {
    const draw = this.draw.bind(this);
    this.site = new SiteFaults(fleet, upstreams, draw);
  }

  /** Injects faults until a time, and waits until the last one is over. */
  async run(untilMs: number): Promise<void> {
    const acts = [
      (): Promise<void> => this.disturbUpstream(),
      (): Promise<void> => this.disturbUpstream(),
      (): Promise<void> => this.holdUpstream(),
      (): Promise<void> => this.restUpstream(),
      (): Promise<void> => this.pauseGateway(),
      (): Promise<void> => this.restartGateway(StopCause.KILL),
      (): Promise<void> => this.restartGateway(StopCause.TERMINATION),
      (): Promise<void> => this.reloadGateway(),
      (): Promise<void> => this.cutGateway(),
      (): Promise<void> => this.changeSite('site'),
      (): Promise<void> => this.changeSite('series'),
      (): Promise<void> => this.changeSite('restore'),
    ];
    while (performance.now() < untilMs) {
      const act = acts[this.draw(0, acts.length - 1)];
      const fault = act?.();
      if (fault !== undefined) {
        this.running.add(fault);
        void fault.finally(() => this.running.delete(fault));
      }
      await pause(this.draw(MIN_GAP_MS, MAX_GAP_MS));
    }
    await Promise.all(this.running);
  }

  private async disturbUpstream(): Promise<void> {
    const upstream = this.upstreams[this.draw(0, this.upstreams.length - 1)];
    const fault = FAULTS[this.draw(0, FAULTS.length - 1)];
    if (upstream === undefined || fault === undefined) return;
    this.count(fault);
    await upstream.disturb(fault, pause(this.draw(MIN_GAP_MS, MAX_FAULT_MS)));
  }

  /** Lets a sound upstream be silent for about a second. */
  private async holdUpstream(): Promise<void> {
    const upstream = this.upstreams[this.draw(0, this.upstreams.length - 1)];
    this.count(ProxyFault.HOLD);
    const holdMs = this.draw(MIN_HOLD_MS, MAX_HOLD_MS);
    await upstream?.disturb(ProxyFault.HOLD, pause(holdMs));
  }

  /** Lets an upstream refuse everything for a while, and ask for a rest. */
  private async restUpstream(): Promise<void> {
    const upstream = this.upstreams[this.draw(0, this.upstreams.length - 1)];
    this.count('rest');
    const restMs = this.draw(MIN_REST_MS, MAX_REST_MS);
    upstream?.rest(restMs);
    await pause(restMs);
  }

  private async pauseGateway(): Promise<void> {
    await this.stopGateway(StopCause.PAUSE, async at => {
      this.fleet.signal(at, 'SIGSTOP');
      await pause(this.draw(MIN_GAP_MS, MAX_PAUSE_MS));
      this.fleet.signal(at, 'SIGCONT');
    });
  }

  private async restartGateway(
    cause: StopCause.KILL | StopCause.TERMINATION,
  ): Promise<void> {
    await this.stopGateway(cause, at =>
      this.fleet.restart(at, cause === StopCause.KILL),
    );
  }

  /** Lets a gateway read its settings again several times, also while it stops. */
  private async reloadGateway(): Promise<void> {
    const at = this.draw(0, this.gateways - 1);
    this.count('reload');
    for (let left = this.draw(1, MAX_RELOADS); left > 0; left--) {
      this.fleet.signal(at, 'SIGHUP');
      await pause(this.draw(0, MAX_RELOAD_GAP_MS));
    }
  }

  /** Cuts one gateway off from all upstreams; callers and peers reach it. */
  private async cutGateway(): Promise<void> {
    const fault = CUTS[this.draw(0, CUTS.length - 1)] ?? ProxyFault.RESET;
    const set = (at: number, cut: ProxyFault): void => {
      for (const upstream of this.upstreams) upstream.setCut(at, cut);
    };
    const span = await this.withGateway(`cut ${fault}`, async at => {
      set(at, fault);
      await pause(this.draw(MIN_CUT_MS, MAX_CUT_MS));
      set(at, ProxyFault.NONE);
    });
    if (span) this.cuts.push(span);
  }

  private async changeSite(name: 'site' | 'series' | 'restore'): Promise<void> {
    this.count(name);
    if (name === 'site') await this.site.breakAndDrain();
    else if (name === 'series') await this.site.publishSeries();
    else await this.site.restore();
  }

  private async stopGateway(
    cause: StopCause,
    act: (at: number) => Promise<void>,
  ): Promise<void> {
    const span = await this.withGateway(cause, act);
    if (span) this.stops.push({...span, cause});
  }

  /** Acts on a gateway that no other fault has, and notes the time. */
  private async withGateway(
    name: string,
    act: (at: number) => Promise<void>,
  ): Promise<GatewaySpan | undefined> {
    const at = this.draw(0, this.gateways - 1);
    // One gateway always stays, as sites lose hosts but callers find another.
    if (this.busy.has(at) || this.busy.size >= this.gateways - 1) {
      return undefined;
    }
    this.busy.add(at);
    this.count(name);
    const fromMs = performance.now();
    await act(at);
    this.busy.delete(at);
    return {gateway: at, fromMs, untilMs: performance.now()};
  }

  private count(name: string): void {
    this.counts[name] = (this.counts[name] ?? 0) + 1;
  }

  private draw(from: number, to: number): number {
    return uniformInt(this.random, from, to);
  }
}
