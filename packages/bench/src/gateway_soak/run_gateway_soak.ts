import {setTimeout as pause} from 'node:timers/promises';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {checkCalls} from './check_calls.js';
import {checkCrashes} from './check_crashes.js';
import {checkCuts} from './check_cuts.js';
import {checkLeaving} from './check_leaving.js';
import {checkLimits} from './check_limits.js';
import {checkLosses} from './check_losses.js';
import {checkNewest} from './check_newest.js';
import {checkRests} from './check_rests.js';
import {CrashLedger} from './crash_ledger.js';
import {CheckedUpstream} from './checked_upstream.js';
import {GatewayFaults} from './gateway_faults.js';
import {GatewayFleet} from './gateway_fleet.js';
import type {GatewaySoakReport} from './gateway_soak_report.js';
import {LeavingFaults} from './leaving_faults.js';
import {SoakCallers} from './soak_callers.js';

const UPSTREAMS = 3;
/** What one upstream of each service takes from all gateways. */
const LIMIT_PER_SECOND = 2;
/** Time in which upstreams that were avoided are tried again: at most 4 s. */
const RECOVERY_MS = 5_000;
const CALM_MS = 2_000;
const MS_PER_SECOND = 1_000;

/**
 * Runs gateways as processes under load and faults, and checks what callers and
 * upstreams see.
 *
 * @param seconds Time in which faults come.
 * @param logs Directory for the gateways' logs.
 */
export async function runGatewaySoak(
  seed: number,
  seconds: number,
  gateways: number,
  logs?: string,
): Promise<GatewaySoakReport> {
  const random = xoroshiro128plus(seed);
  const runs = new Map<string, number>();
  const ledger = new CrashLedger();
  const upstreams = ['app', 'engine'].flatMap(service =>
    Array.from(
      {length: UPSTREAMS},
      (_none, at) =>
        new CheckedUpstream(
          `${service}-${at}`,
          service,
          runs,
          ledger,
          at === 0 ? LIMIT_PER_SECOND : undefined,
        ),
    ),
  );
  for (const upstream of upstreams) await upstream.start(gateways);
  const fleet = new GatewayFleet(upstreams, logs);
  try {
    await fleet.start(gateways);
    const callers = new SoakCallers(
      fleet.callers,
      fleet.directories,
      xoroshiro128plus(seed + 1),
    );
    const faults = new GatewayFaults(fleet, gateways, upstreams, random);
    const leaving = new LeavingFaults(
      fleet,
      upstreams,
      xoroshiro128plus(seed + 2),
    );
    callers.start();
    const untilMs = performance.now() + seconds * MS_PER_SECOND;
    await Promise.all([faults.run(untilMs), leaving.run(untilMs)]);
    callers.allowsCrashes = false;
    await pause(RECOVERY_MS);
    const calmFromMs = performance.now();
    await pause(CALM_MS);
    await callers.stop();
    const outdated = await checkNewest(fleet.callers, fleet.publishedVersion);
    const {calls} = callers;
    const {stops, cuts} = faults;
    const statuses: Record<string, number> = {};
    for (const {status} of calls) {
      statuses[status] = (statuses[status] ?? 0) + 1;
    }
    return {
      seed,
      calls: calls.length,
      statuses,
      faults: {...faults.counts, leave: leaving.count},
      crashes: ledger.count,
      violations: [
        ...checkCalls(calls, runs, stops, calmFromMs),
        ...upstreams.flatMap(({unknownIds}) => unknownIds),
        ...checkCrashes(calls, ledger),
        ...checkLimits(upstreams, calls, [...stops, ...cuts]),
        ...checkLeaving(upstreams, calls, [...stops, ...cuts]),
        ...checkRests(upstreams, [...stops, ...cuts]),
        ...checkLosses(calls, upstreams, stops, cuts, fleet.stopGraceMs),
        ...fleet.listExits(),
        ...outdated,
      ],
      exceptions: fleet.listExceptions(),
      unserved: checkCuts(calls, cuts, stops),
    };
  } finally {
    await fleet.stop();
    for (const upstream of upstreams) upstream.stop();
  }
}
