import {HomeRegions} from '@parsleywood/forwarding';
import {ReachState} from '@parsleywood/membership';
import {expect} from 'chai';
import fc from 'fast-check';
import {VirtualFleet} from '../../testing/virtual_fleet.js';
import {HostDirectory} from './host_directory.js';

const DOMAINS = 3;
const SETTLE_MS = 6_000;
/** Stable window of 4 s, and 3 s more. */
const GONE_MS = 7_000;
const CHECK_INTERVAL_MS = 100;

enum Fault {
  KILL = 'kill',
  DOMAIN = 'domain without power',
  CUT = 'cut',
  HOLD = 'cut that holds messages up',
  HEAL = 'heal',
}

const FAULTS = fc.array(
  fc.record({
    fault: fc.constantFrom(...Object.values(Fault)),
    at: fc.nat({max: 999}),
    pauseMs: fc.integer({min: 100, max: 4_000}),
  }),
  {minLength: 3, maxLength: 8},
);

/** Hosts that fail amid partitions, and what their directories answer. */
class FailingFleet {
  private readonly fleet: VirtualFleet;
  private readonly killedAtMs = new Map<string, number>();
  private readonly directories: readonly HostDirectory[];

  constructor(count: number) {
    this.fleet = new VirtualFleet(count, DOMAINS, 1);
    this.directories = this.fleet.hosts.map(
      host =>
        new HostDirectory(
          {callersAddress: host.address, failureDomain: host.failureDomain},
          {rules: undefined},
          new HomeRegions(),
          () => true,
          () => host.fleet.listHeartbeats(),
          () => ReachState.REACHED,
        ),
    );
    this.run(SETTLE_MS);
  }

  apply(fault: Fault, at: number): void {
    const {fleet} = this;
    const host = fleet.hosts[at % fleet.hosts.length];
    if (host === undefined) return;
    const {failureDomain} = host;
    if (fault === Fault.KILL) this.kill(host);
    else if (fault === Fault.DOMAIN) {
      for (const one of fleet.hosts) {
        if (one.failureDomain === failureDomain) this.kill(one);
      }
    } else if (fault === Fault.HEAL) {
      fleet.isCut = () => false;
      fleet.isHeld = () => false;
    } else {
      const half = new Set(
        fleet.hosts
          .filter((_one, index) => index % (2 + (at % 3)) === 0)
          .map(({address}) => address),
      );
      const isBetween = (from: string, to: string): boolean =>
        half.has(from) !== half.has(to);
      if (fault === Fault.HOLD) fleet.isHeld = isBetween;
      else fleet.isCut = isBetween;
    }
  }

  run(ms: number): void {
    const {fleet} = this;
    let nextCheckMs = fleet.nowMs;
    fleet.run(ms, () => {
      fleet.answerWatches(1);
      if (fleet.nowMs < nextCheckMs) return;
      nextCheckMs += CHECK_INTERVAL_MS;
      this.check();
    });
  }

  private kill(host: VirtualFleet['hosts'][number]): void {
    if (!host.isAlive) return;
    host.isAlive = false;
    this.killedAtMs.set(host.address, this.fleet.nowMs);
  }

  private check(): void {
    const {hosts, nowMs} = this.fleet;
    const gone = [...this.killedAtMs]
      .filter(([, atMs]) => nowMs - atMs > GONE_MS)
      .map(([address]) => address);
    if (gone.length === 0) return;
    hosts.forEach(({isAlive, address}, at) => {
      const named = isAlive ? (this.directories[at]?.list({}) ?? []) : [];
      const wrong = gone.filter(one => named.includes(one));
      if (wrong.length > 0) {
        throw new Error(`${address} names ${wrong.join(' ')} at ${nowMs}`);
      }
    });
  }
}

// Guards against callers that are sent to hosts which are long gone.
describe('HostDirectory', () => {
  for (const [count, numRuns, seed] of [
    [6, 250, 1],
    [6, 250, 2],
    [40, 15, 1],
  ] as const) {
    it(`names no host of ${count} that ended 7 s ago, amid partitions, seed ${seed}`, () => {
      let checked = 0;
      fc.assert(
        fc.property(FAULTS, steps => {
          const fleet = new FailingFleet(count);
          for (const {fault, at, pauseMs} of steps) {
            fleet.apply(fault, at);
            fleet.run(pauseMs);
            checked++;
          }
          fleet.run(GONE_MS + CHECK_INTERVAL_MS);
        }),
        {seed, numRuns},
      );
      expect(checked).to.be.greaterThan(0);
    });
  }
});
