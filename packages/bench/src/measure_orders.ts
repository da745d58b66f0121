import {Orders} from '@parsleywood/orders';
import {
  FaultInjector,
  FixedWitnessOrders,
  Simulation,
  UncoordinatedOrders,
} from '@parsleywood/orders/proof';
import {build} from 'hdr-histogram-js';
import type {BenchOptions} from './bench_options.js';
import type {BenchReport} from './bench_report.js';

const HOSTS = [3, 6, 9] as const;
const ORDERS = 4_000;
const ORDERS_AT_ONCE = 50;
const BATCH_GAP_MS = 20;
const SCHEDULES = 100;
const STEPS = 40;
const DELAY_MAX_MS = 20;
const LOSS_PERCENT = 5;
const DUPLICATE_PERCENT = 10;
/** Orders that the fault schedules use are below this index. */
const FIRST_INDEX = 10;

type MakeHost = ConstructorParameters<typeof Simulation>[0]['makeHost'];

const BASELINES: Readonly<Record<string, MakeHost>> = {
  ticket: () => new UncoordinatedOrders(),
  witnesses: self => new FixedWitnessOrders(self),
};

/**
 * Measures what running an order at most once costs in virtual time, with one
 * millisecond one way between hosts, and how many fault schedules double one.
 */
export function measureOrders(options: BenchOptions): Promise<BenchReport> {
  const seeds = Array.from({length: options.repeats}, (_, i) => {
    return options.seed + i;
  });
  const figures: Record<string, number> = {};
  const baseline: Record<string, number> = {};
  const targets: Record<string, number> = {};
  for (const hosts of HOSTS) {
    const name = `majority${hosts}Hosts`;
    measureWay(figures, name, hosts, seeds, self => new Orders(self));
    targets[`${name}DoubledSchedules`] = 0;
    for (const [way, makeHost] of Object.entries(BASELINES)) {
      measureWay(baseline, `${way}${hosts}Hosts`, hosts, seeds, makeHost);
    }
  }
  const met = Object.fromEntries(
    Object.entries(targets).map(([name, bound]) => {
      return [name, (figures[name] ?? Infinity) <= bound];
    }),
  );
  return Promise.resolve({
    name: 'orders',
    seeds,
    figures,
    baseline,
    targets,
    met,
  });
}

function measureWay(
  figures: Record<string, number>,
  name: string,
  hosts: number,
  seeds: readonly number[],
  makeHost: MakeHost,
): void {
  const served = serve(hosts, seeds, makeHost);
  const orders = ORDERS * seeds.length;
  figures[`${name}MessagesPerOrder`] = round(served.messages / orders);
  figures[`${name}AddedMedianMs`] = served.added.getValueAtPercentile(50);
  figures[`${name}AddedP99Ms`] = served.added.getValueAtPercentile(99);
  figures[`${name}ProcessorMicrosPerOrder`] = round(
    (served.processorMs * 1_000) / orders,
  );
  figures[`${name}Served`] = served.served;
  figures[`${name}Schedules`] = SCHEDULES * seeds.length;
  figures[`${name}DoubledSchedules`] = countDoubled(hosts, seeds, makeHost);
}

/** Serves new orders without faults; the service itself takes no time. */
function serve(hosts: number, seeds: readonly number[], makeHost: MakeHost) {
  const added = build({numberOfSignificantValueDigits: 3});
  let messages = 0;
  let processorMs = 0;
  let served = 0;
  for (const seed of seeds) {
    const site = new Simulation({
      hosts,
      seed,
      dispatchDelayMaxMs: 0,
      makeHost: self => {
        const host = makeHost(self);
        const handle = host.handle.bind(host);
        host.handle = (event, nowMs) => {
          const startMs = performance.now();
          const actions = handle(event, nowMs);
          processorMs += performance.now() - startMs;
          return actions;
        };
        return host;
      },
    });
    const before = site.messages;
    for (let index = 0; index < ORDERS; index++) {
      site.submit(FIRST_INDEX + index, `h${site.draw(0, hosts - 1)}`);
      if (index % ORDERS_AT_ONCE === 0) site.advance(BATCH_GAP_MS);
    }
    site.advance(1_000);
    messages += site.messages - before;
    served += site.replies.filter(({kind}) => kind === '').length;
    for (const {tookMs} of site.replies) added.recordValue(tookMs);
  }
  return {added, messages, processorMs, served};
}

/** Random faults: how many schedules ran an order twice or denied one. */
function countDoubled(
  hosts: number,
  seeds: readonly number[],
  makeHost: MakeHost,
): number {
  let doubled = 0;
  for (const seed of seeds) {
    for (let schedule = 0; schedule < SCHEDULES; schedule++) {
      const site = new Simulation({
        hosts,
        seed: seed * SCHEDULES + schedule,
        delayMaxMs: DELAY_MAX_MS,
        lossPercent: LOSS_PERCENT,
        duplicatePercent: DUPLICATE_PERCENT,
        makeHost,
      });
      new FaultInjector(site).performRandom(STEPS);
      if (site.findViolations().length > 0) doubled++;
    }
  }
  return doubled;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
