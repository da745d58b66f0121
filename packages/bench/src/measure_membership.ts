import {
  MembershipActionKind,
  MembershipEventKind,
  MemberState,
  type MembershipAction,
} from '@parsleywood/membership';
import {VirtualSite} from '@parsleywood/membership/testing';
import {MembershipMessage} from '@parsleywood/schema/membership';
import type {BenchOptions} from './bench_options.js';
import type {BenchReport} from './bench_report.js';

const SIZES = [3, 6, 9, 18, 36, 90, 360];
const FAILURE_DOMAINS = 3;
const SETTINGS = {
  probeIntervalMs: 500,
  suspectAfterMs: 1500,
  deadAfterMs: 4000,
};
const START_MS = 10_000;
const SETTLE_MS = 50_000;
const STEADY_MS = 60_000;
const DEATHS_A_RUN = 5;
const DEATH_STEP_MS = 137;
const AFTER_DEATH_MS = 8_000;
const AFTER_RESTART_MS = 5_000;
const LIST_STEP_MS = 250;
const MAX_LIST_SPREAD_MS = 120_000;
const NEW_REVISION = 2;
const BASELINE_STEADY_MS = 5_000;
const MS_PER_S = 1_000;
const MAX_BYTES_PER_S = 27_000;
const MAX_PROCESSOR_US_PER_S = 18_000;
const MAX_NOTICE_MS = SETTINGS.deadAfterMs + 2 * SETTINGS.probeIntervalMs;
const NOTICE_P95 = 'noticeP95Ms';

interface Cost {
  messages: number;
  bytes: number;
  processorUs: number;
}

interface Sample {
  readonly cost: Cost;
  readonly noticeMs: readonly number[];
  /** Bytes a second and host while all hosts start together. */
  readonly startBytesPerS?: number;
  /** Time until all hosts hold a list that one of them read. */
  readonly listSpreadMs?: number;
}

/**
 * Measures what membership costs one host and how soon it notices a death, for
 * sites of several sizes, beside heartbeats from each host to each other.
 */
export async function measureMembership(
  options: BenchOptions,
): Promise<BenchReport> {
  const seeds = Array.from(
    {length: options.repeats},
    (_, i) => options.seed + i,
  );
  const figures: Record<string, number> = {};
  const baseline: Record<string, number> = {};
  const targets: Record<string, number> = {};
  for (const hosts of SIZES) {
    const probed = seeds.map(seed => measureProbing(hosts, seed));
    const heard = seeds.map(seed => measureHeartbeats(hosts, seed));
    Object.assign(figures, summarize(hosts, probed));
    Object.assign(baseline, summarize(hosts, heard));
    targets[`bytesPerSAt${hosts}`] = MAX_BYTES_PER_S;
    targets[`startBytesPerSAt${hosts}`] = MAX_BYTES_PER_S;
    targets[`processorUsPerSAt${hosts}`] = MAX_PROCESSOR_US_PER_S;
    targets[`${NOTICE_P95}At${hosts}`] = MAX_NOTICE_MS;
  }
  const met = Object.fromEntries(
    Object.entries(targets).map(([name, bound]) => [
      name,
      (figures[name] ?? Infinity) <= bound,
    ]),
  );
  return {name: 'membership', seeds, figures, baseline, targets, met};
}

function measureProbing(hosts: number, seed: number): Sample {
  let cost = buildCost();
  let holders = 0;
  const onAction = (_host: string, action: MembershipAction) => {
    if (action.kind === MembershipActionKind.LIST_ADOPTED) {
      holders += action.revision === NEW_REVISION ? 1 : 0;
    }
    if (action.kind === MembershipActionKind.SEND) {
      addMessage(cost, action.message);
    }
  };
  const site = new VirtualSite({
    hosts,
    failureDomains: FAILURE_DOMAINS,
    seed,
    settings: SETTINGS,
    onAction,
  });
  site.startAll();
  site.run(START_MS);
  const startBytesPerS = divideCost(cost, hosts, START_MS).bytes;
  site.run(SETTLE_MS);
  cost = buildCost();
  cost.processorUs = measureProcessor(() => site.run(STEADY_MS));
  const steady = divideCost(cost, hosts, STEADY_MS);
  const noticeMs = Array.from({length: DEATHS_A_RUN}, (_, i) =>
    noticeDeath(site, i),
  ).flat();
  const listSpreadMs = spreadList(site, () => holders === hosts);
  return {cost: steady, noticeMs, startBytesPerS, listSpreadMs};
}

function spreadList(site: VirtualSite, isSpread: () => boolean): number {
  const startedMs = site.nowMs;
  site.tell(site.hosts[0] ?? '', {
    kind: MembershipEventKind.LIST,
    list: site.published,
    revision: NEW_REVISION,
  });
  while (!isSpread() && site.nowMs - startedMs < MAX_LIST_SPREAD_MS) {
    site.run(LIST_STEP_MS);
  }
  return site.nowMs - startedMs;
}

function buildCost(): Cost {
  return {messages: 0, bytes: 0, processorUs: 0};
}

function addMessage(cost: Cost, message: MembershipMessage): void {
  const bytes = MembershipMessage.encode(message).finish();
  MembershipMessage.decode(bytes);
  cost.messages++;
  cost.bytes += bytes.length;
}

/** Ends and restarts one host; gives the time until each other one noticed. */
function noticeDeath(site: VirtualSite, index: number): number[] {
  const host = site.hosts[index % site.hosts.length] ?? '';
  site.run(index * DEATH_STEP_MS);
  const diedMs = site.nowMs;
  const before = site.changes.length;
  site.crash(host);
  site.run(AFTER_DEATH_MS);
  const noticed = new Map<string, number>();
  for (const change of site.changes.slice(before)) {
    if (change.host !== host || change.state !== MemberState.DEAD) continue;
    noticed.set(change.observer, change.timeMs - diedMs);
  }
  site.start(host);
  site.run(AFTER_RESTART_MS);
  return site.hosts
    .filter(name => name !== host)
    .map(name => noticed.get(name) ?? AFTER_DEATH_MS);
}

/** Every host tells every other that it is alive, in each interval. */
function measureHeartbeats(hosts: number, seed: number): Sample {
  const cost = buildCost();
  const lastHeardMs = Array.from(
    {length: hosts},
    () => new Map<string, number>(),
  );
  const intervalMs = SETTINGS.probeIntervalMs;
  const beat = (fromIndex: number, nowMs: number) => {
    const from = `entry-${fromIndex + 1}`;
    for (let to = 0; to < hosts; to++) {
      if (to === fromIndex) continue;
      addMessage(cost, buildHeartbeat(from));
      lastHeardMs[to]?.set(from, nowMs);
    }
  };
  cost.processorUs = measureProcessor(() => {
    for (let nowMs = 0; nowMs < BASELINE_STEADY_MS; nowMs += intervalMs) {
      for (let host = 0; host < hosts; host++) beat(host, nowMs);
    }
  });
  const noticeMs = Array.from({length: DEATHS_A_RUN}, (_, i) => {
    const sinceBeatMs = (seed * DEATH_STEP_MS * (i + 1)) % intervalMs;
    return SETTINGS.deadAfterMs - sinceBeatMs;
  });
  return {cost: divideCost(cost, hosts, BASELINE_STEADY_MS), noticeMs};
}

function buildHeartbeat(address: string): MembershipMessage {
  return MembershipMessage.fromPartial({address, listRevision: 1});
}

function measureProcessor(work: () => void): number {
  const before = process.cpuUsage();
  work();
  const used = process.cpuUsage(before);
  return used.user + used.system;
}

function divideCost(cost: Cost, hosts: number, durationMs: number): Cost {
  const share = MS_PER_S / (hosts * durationMs);
  return {
    messages: cost.messages * share,
    bytes: cost.bytes * share,
    processorUs: cost.processorUs * share,
  };
}

function summarize(
  hosts: number,
  samples: readonly Sample[],
): Record<string, number> {
  const costs = samples.map(sample => sample.cost);
  const noticeMs = samples.flatMap(sample => sample.noticeMs);
  const startBytes = samples.flatMap(sample => sample.startBytesPerS ?? []);
  const spreadMs = samples.flatMap(sample => sample.listSpreadMs ?? []);
  const extra =
    startBytes.length === 0
      ? {}
      : {
          [`startBytesPerSAt${hosts}`]: pick(startBytes, 0.5),
          [`listSpreadMsAt${hosts}`]: pick(spreadMs, 0.5),
        };
  return {
    ...extra,
    [`messagesPerSAt${hosts}`]: pick(
      costs.map(c => c.messages),
      0.5,
    ),
    [`bytesPerSAt${hosts}`]: pick(
      costs.map(c => c.bytes),
      0.5,
    ),
    [`processorUsPerSAt${hosts}`]: pick(
      costs.map(c => c.processorUs),
      0.5,
    ),
    [`noticeP50MsAt${hosts}`]: pick(noticeMs, 0.5),
    [`${NOTICE_P95}At${hosts}`]: pick(noticeMs, 0.95),
  };
}

/** Picks the value at a rank, from 0 to 1, and rounds it. */
function pick(values: readonly number[], rank: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * rank));
  return Math.round((sorted[index] ?? Infinity) * 10) / 10;
}
