import {setTimeout as pause} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {CheckedUpstream} from './checked_upstream.js';
import type {GatewayFleet} from './gateway_fleet.js';
import type {GatewayStop} from './gateway_stop.js';
import {ProxyFault} from './proxy_fault.js';

const FAULTS = [
  ProxyFault.DELAY,
  ProxyFault.RESET,
  ProxyFault.ONE_WAY,
  ProxyFault.SILENCE,
];
const MIN_GAP_MS = 50;
const MAX_GAP_MS = 900;
const MAX_FAULT_MS = 2_500;
const MAX_PAUSE_MS = 1_500;
const MAX_LOST_VERSIONS = 4;

/** Injects faults from outside the gateways, in series and overlapping. */
export class GatewayFaults {
  readonly counts: Record<string, number> = {};
  readonly stops: GatewayStop[] = [];
  private readonly running = new Set<Promise<void>>();
  private readonly busy = new Set<number>();

  constructor(
    private readonly fleet: GatewayFleet,
    private readonly gateways: number,
    private readonly upstreams: readonly CheckedUpstream[],
    private readonly random: RandomGenerator,
  ) {}

  /** Injects faults until a time, and waits until the last one is over. */
  async run(untilMs: number): Promise<void> {
    const acts = [
      (): Promise<void> => this.disturbUpstream(),
      (): Promise<void> => this.disturbUpstream(),
      (): Promise<void> => this.pauseGateway(),
      (): Promise<void> => this.restartGateway(true),
      (): Promise<void> => this.restartGateway(false),
      (): Promise<void> => this.changeSite(),
      (): Promise<void> => this.restoreSite(),
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
    upstream.proxy.fault = fault;
    await pause(this.draw(MIN_GAP_MS, MAX_FAULT_MS));
    upstream.proxy.fault = ProxyFault.NONE;
  }

  private async pauseGateway(): Promise<void> {
    await this.withGateway('pause', async at => {
      this.fleet.signal(at, 'SIGSTOP');
      await pause(this.draw(MIN_GAP_MS, MAX_PAUSE_MS));
      this.fleet.signal(at, 'SIGCONT');
    });
  }

  private async restartGateway(isForced: boolean): Promise<void> {
    await this.withGateway(isForced ? 'kill' : 'stop', at =>
      this.fleet.restart(at, isForced),
    );
  }

  private async changeSite(): Promise<void> {
    this.count('site');
    this.fleet.breakFile();
    await pause(this.draw(MIN_GAP_MS, MAX_GAP_MS));
    const drained = this.upstreams[this.draw(0, this.upstreams.length - 1)];
    this.fleet.publish(new Set(drained ? [drained.id] : []));
    await pause(this.draw(MIN_GAP_MS, MAX_FAULT_MS));
    this.fleet.publish(new Set());
  }

  /** Lets the site come back from a copy, and be published again after a while. */
  private async restoreSite(): Promise<void> {
    this.count('restore');
    this.fleet.restore(this.draw(0, MAX_LOST_VERSIONS));
    await pause(this.draw(MIN_GAP_MS, MAX_GAP_MS));
    this.fleet.publish(new Set());
  }

  /** Acts on a gateway that no other fault has, and notes the time. */
  private async withGateway(
    name: string,
    act: (at: number) => Promise<void>,
  ): Promise<void> {
    const at = this.draw(0, this.gateways - 1);
    // One gateway always stays, as sites lose hosts but callers find another.
    if (this.busy.has(at) || this.busy.size >= this.gateways - 1) return;
    this.busy.add(at);
    this.count(name);
    const fromMs = performance.now();
    await act(at);
    this.stops.push({gateway: at, fromMs, untilMs: performance.now()});
    this.busy.delete(at);
  }

  private count(name: string): void {
    this.counts[name] = (this.counts[name] ?? 0) + 1;
  }

  private draw(from: number, to: number): number {
    return uniformInt(this.random, from, to);
  }
}
