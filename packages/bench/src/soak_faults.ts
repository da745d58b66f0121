import {pause} from '@parsleywood/stand-ins';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {LocalSite} from './local_site.js';
import {setFaults} from './set_faults.js';
import type {SiteReport} from './site_report.js';
import {SoakFaultKind} from './soak_fault_kind.js';

const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 6_000;
const MAX_GAP_MS = 3_000;
const STOP_HOST_MS = 30_000;
const SLOW_FACTOR = 20;

/** Faults of stand-ins: what sets one and what ends it. */
const STAND_IN_FAULTS: Partial<Record<SoakFaultKind, [object, object]>> = {
  [SoakFaultKind.CRASH_ENGINE]: [{crash: true}, {}],
  [SoakFaultKind.SLOW_ENGINE]: [{slowFactor: SLOW_FACTOR}, {slowFactor: 1}],
  [SoakFaultKind.TRUNCATE_ANSWERS]: [{truncateAfter: 3}, {truncateAfter: 0}],
  [SoakFaultKind.DUPLICATE_EVENTS]: [
    {duplicateEvents: true},
    {duplicateEvents: false},
  ],
  [SoakFaultKind.CROSS_ANSWERS]: [{crossAnswers: true}, {crossAnswers: false}],
  [SoakFaultKind.DROP_END_EVENTS]: [
    {dropEndEvent: true},
    {dropEndEvent: false},
  ],
  [SoakFaultKind.FAIL_AFTER_EXECUTION]: [
    {failAfterExecution: true},
    {failAfterExecution: false},
  ],
  [SoakFaultKind.FAIL_BEFORE_EXECUTION]: [
    {failBeforeExecution: true},
    {failBeforeExecution: false},
  ],
  [SoakFaultKind.PLATFORM_DOWN]: [{down: true}, {down: false}],
  [SoakFaultKind.PLATFORM_STALE]: [{stale: true}, {stale: false}],
};

const SERVICE_FAULTS = new Set([
  SoakFaultKind.FREEZE_SERVICE,
  SoakFaultKind.FAIL_AFTER_EXECUTION,
  SoakFaultKind.FAIL_BEFORE_EXECUTION,
]);

/** Brings about one random fault after another, and ends each. */
export class SoakFaults {
  /** Number of faults by kind. */
  readonly counts: Record<string, number> = {};
  /** Longest pause of a host, in milliseconds. */
  longestPauseMs = 0;
  /** Monotonic times at which hosts were killed, in milliseconds. */
  readonly killsAtMs: number[] = [];
  /** Hosts that did not stop by themselves when asked to. */
  readonly unwilling: string[] = [];

  private readonly random: RandomGenerator;

  constructor(
    private readonly local: LocalSite,
    private readonly site: SiteReport,
    seed: number,
  ) {
    this.random = xoroshiro128plus(seed);
  }

  /** Goes on until a monotonic time, in milliseconds. */
  async run(untilMs: number): Promise<void> {
    const kinds = Object.values(SoakFaultKind);
    while (performance.now() < untilMs) {
      const kind = this.choose(kinds);
      this.counts[kind] = (this.counts[kind] ?? 0) + 1;
      const durationMs = uniformInt(this.random, MIN_FAULT_MS, MAX_FAULT_MS);
      await this.bringAbout(kind, durationMs);
      await pause(uniformInt(this.random, 0, MAX_GAP_MS));
    }
  }

  private bringAbout(kind: SoakFaultKind, durationMs: number): Promise<void> {
    switch (kind) {
      case SoakFaultKind.KILL_HOST:
        return this.killHost(durationMs);
      case SoakFaultKind.STOP_HOST:
        return this.stopHost(durationMs);
      case SoakFaultKind.PAUSE_HOST:
        return this.pauseHost(durationMs);
      case SoakFaultKind.FREEZE_ENGINE:
      case SoakFaultKind.FREEZE_SERVICE:
        return this.freeze(kind, durationMs);
      default:
        return this.setStandInFault(kind, durationMs);
    }
  }

  private async killHost(durationMs: number): Promise<void> {
    const {name} = this.choose(this.site.hosts);
    this.killsAtMs.push(performance.now());
    await this.local.findHost(name)?.kill();
    await pause(durationMs);
    await this.restartHost(name);
  }

  private async stopHost(durationMs: number): Promise<void> {
    const {name} = this.choose(this.site.hosts);
    const child = this.local.findHost(name);
    await child?.stop(STOP_HOST_MS);
    if (child?.exitCode !== 0) this.unwilling.push(name);
    await pause(durationMs);
    await this.restartHost(name);
  }

  private async restartHost(name: string): Promise<void> {
    this.local.startHost(name);
    await this.local.waitForHost(name);
  }

  private async pauseHost(durationMs: number): Promise<void> {
    const {name} = this.choose(this.site.hosts);
    const child = this.local.findHost(name);
    this.longestPauseMs = Math.max(this.longestPauseMs, durationMs);
    child?.signal('SIGSTOP');
    await pause(durationMs);
    child?.signal('SIGCONT');
  }

  private async freeze(kind: SoakFaultKind, freezeMs: number): Promise<void> {
    await setFaults(this.chooseStandIn(kind), {freezeMs});
    await pause(freezeMs);
  }

  private async setStandInFault(
    kind: SoakFaultKind,
    durationMs: number,
  ): Promise<void> {
    const url = this.chooseStandIn(kind);
    const [begin = {}, end = {}] = STAND_IN_FAULTS[kind] ?? [];
    await setFaults(url, begin);
    await pause(durationMs);
    await setFaults(url, end);
  }

  private chooseStandIn(kind: SoakFaultKind): string {
    const {engines, services, platform} = this.site;
    const ofPlatform =
      kind === SoakFaultKind.PLATFORM_DOWN ||
      kind === SoakFaultKind.PLATFORM_STALE;
    if (ofPlatform) return platform;
    return this.choose(SERVICE_FAULTS.has(kind) ? services : engines).url;
  }

  private choose<T>(values: readonly T[]): T {
    const value = values[uniformInt(this.random, 0, values.length - 1)];
    if (value === undefined) throw new Error('nothing to choose from');
    return value;
  }
}
