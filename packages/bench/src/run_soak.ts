import {CallerLoad} from './caller_load.js';
import {checkCompletions} from './check_completions.js';
import {checkEngines} from './check_engines.js';
import {checkOrders} from './check_orders.js';
import {LocalSite} from './local_site.js';
import type {OrderRecord} from './order_record.js';
import {readExecutions} from './read_executions.js';
import {SITE_DEFAULTS} from './site_defaults.js';
import {SoakFaults} from './soak_faults.js';
import type {SoakOptions} from './soak_options.js';
import type {SoakReport} from './soak_report.js';

const MINUTE_MS = 60_000;
const HOSTS = 4;
const ENGINE_RESTART_MS = 1_500;
const LOAD = {
  completionsPerSecond: 20,
  ordersPerSecond: 10,
  promptTokens: 300,
  answerTokens: 24,
  limitMs: 10_000,
};

/** Runs a random schedule of faults against a site under load. */
export async function runSoak(
  options: SoakOptions,
  logs?: string,
): Promise<SoakReport> {
  const local = new LocalSite({
    ...SITE_DEFAULTS,
    hosts: HOSTS,
    engineRestartMs: ENGINE_RESTART_MS,
    ...(logs === undefined ? {} : {logs}),
  });
  try {
    const site = await local.start();
    const {seed, minutes} = options;
    const load = new CallerLoad(site, {...LOAD, seed});
    const faults = new SoakFaults(local, site, seed);
    load.start();
    await faults.run(performance.now() + minutes * MINUTE_MS);
    await load.stop();
    const executions = await readExecutions(site);
    const {completions, orders} = load;
    const {longestPauseMs, killsAtMs, counts, unwilling} = faults;
    const {limitMs} = LOAD;
    const bounds = {limitMs, longestPauseMs, killsAtMs};
    return {
      seed,
      completions: completions.length,
      answered: completions.filter(({result}) => result.whole).length,
      orders: orders.length,
      placed: orders.filter(({answers}) => answers.at(-1)?.status === 201)
        .length,
      notPlaced: countNotPlaced(orders),
      faults: counts,
      violations: [
        ...checkCompletions(completions, bounds),
        ...checkOrders(orders, executions),
        ...(await checkEngines(site)),
        ...unwilling.map(name => `${name}: did not stop when asked to`),
      ],
    };
  } finally {
    await local.stop();
  }
}

function countNotPlaced(
  orders: readonly OrderRecord[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {answers} of orders) {
    const last = answers.at(-1);
    if (last?.status === 201) continue;
    const kind = last?.errorKind ?? String(last?.status);
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}
