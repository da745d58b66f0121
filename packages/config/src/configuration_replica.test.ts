import {expect} from 'chai';
import fc from 'fast-check';
import {chooseWatchers} from './choose_watchers.js';
import {FIXTURES} from './fixtures.test.js';
import {ConfigurationProblemKind as Problem} from './index.js';
import {SimulatedFleet} from './simulated_fleet.test.js';

/** A published revision is active on every host within this time. */
const ACTIVE_WITHIN_MS = 16_000;
/** The same bound when nothing fails. */
const ACTIVE_WITHOUT_FAULTS_MS = 2_000;
const SETTLE_MS = 20_000;
const DOMAINS = 3;
/**
 * Time for the crash of a watcher to be detected and another one to take over.
 */
const TAKEOVER_MS = 6_000;
const RUNS = {seed: 1, numRuns: 60};
const FLEET_SIZE = fc.integer({min: 1, max: 9});
const SEED = fc.integer();
const HOST_MASK = fc.array(fc.boolean(), {minLength: 9, maxLength: 9});
const SINGLE_HOST_MASK = fc
  .nat(8)
  .map(one => Array.from({length: 9}, (_, index) => index === one));

describe('ConfigurationReplica', () => {
  it('activates a published revision on all hosts in time if one reaches the service', () => {
    const reach = fc.record({
      size: FLEET_SIZE,
      domains: fc.integer({min: 1, max: DOMAINS}),
      seed: SEED,
      reaches: fc.oneof(HOST_MASK, SINGLE_HOST_MASK),
      killed: HOST_MASK,
      hangs: fc.boolean(),
      afterMs: fc.nat(8_000),
      lossPercent: fc.constantFrom(0, 10),
    });
    fc.assert(
      fc.property(reach, options => {
        const fleet = createSettledFleet(
          options.size,
          options.seed,
          options.domains,
        );
        fleet.lossPercent = options.lossPercent;
        const isCutOff = (name: string) =>
          !options.reaches[Number(name.slice(1))];
        if (options.hangs) fleet.service.hangs = isCutOff;
        else fleet.service.isUp = name => !isCutOff(name);
        for (const host of fleet.hosts) {
          const mayCrash = isCutOff(host.name) && fleet.live.length > 1;
          if (mayCrash && options.killed[Number(host.name.slice(1))]) {
            fleet.kill(host);
          }
        }
        fleet.run(options.afterMs);
        const base = fleet.service.publish('base', FIXTURES.base());
        fleet.run(ACTIVE_WITHIN_MS);
        if (fleet.live.every(({name}) => isCutOff(name))) return;
        expect(fleet.listOutdated({base, overlay: 0})).to.eql([]);
        expect(fleet.revertedHosts).to.eql([]);
      }),
      RUNS,
    );
  });

  it('activates a published revision in time after a service outage of minutes', () => {
    const outage = fc.record({
      size: FLEET_SIZE,
      seed: SEED,
      outageMs: fc.nat(300_000),
      hangs: fc.boolean(),
    });
    fc.assert(
      fc.property(outage, ({size, seed, outageMs, hangs}) => {
        const fleet = createSettledFleet(size, seed);
        fleet.service.isUp = () => false;
        fleet.service.hangs = () => hangs;
        const base = fleet.service.publish('base', FIXTURES.base());
        fleet.run(outageMs);
        fleet.service.clearFaults();
        fleet.run(ACTIVE_WITHIN_MS);
        expect(fleet.listOutdated({base, overlay: 0})).to.eql([]);
      }),
      {seed: 1, numRuns: 20},
    );
  });

  it('replaces watchers that crashed', () => {
    fc.assert(
      fc.property(SEED, seed => {
        const fleet = createSettledFleet(9, seed, 1);
        const members = fleet.hosts.map(({name}) => ({
          host: name,
          failureDomain: 'd0',
        }));
        const watchers = chooseWatchers('base', 'd0', members, 2);
        for (const host of fleet.hosts) {
          if (watchers.includes(host.name)) fleet.kill(host);
        }
        fleet.run(TAKEOVER_MS);
        const base = fleet.service.publish('base', FIXTURES.base());
        fleet.run(ACTIVE_WITHOUT_FAULTS_MS);
        expect(fleet.live).to.have.length(7);
        expect(fleet.listOutdated({base, overlay: 0})).to.eql([]);
      }),
      {seed: 1, numRuns: 20},
    );
  });

  it('never reverts to an older revision under crashes, pauses, partitions, message loss and stale reads', () => {
    const step = fc.record({
      action: fc.constantFrom(...ACTIONS),
      choice: fc.nat(8),
      durationMs: fc.nat(12_000),
    });
    const steps = fc.array(step, {minLength: 5, maxLength: 25});
    fc.assert(
      fc.property(FLEET_SIZE, SEED, steps, (size, seed, schedule) => {
        const fleet = createSettledFleet(size, seed);
        fleet.lossPercent = 5;
        for (const {action, choice, durationMs} of schedule) {
          performAction(fleet, action, choice, durationMs);
          fleet.run(durationMs);
        }
        expect(fleet.revertedHosts).to.eql([]);
        heal(fleet);
        const base = fleet.service.publish('base', FIXTURES.base());
        const overlay = fleet.service.publish('sites/s', FIXTURES.overlay());
        fleet.run(ACTIVE_WITHIN_MS);
        expect(fleet.listOutdated({base, overlay})).to.eql([]);
        expect(fleet.revertedHosts).to.eql([]);
      }),
      RUNS,
    );
  });

  it('starts no host with an older revision than a reachable peer holds', () => {
    const options = fc.record({
      size: fc.integer({min: 2, max: 9}),
      seed: SEED,
      hasSeeds: fc.boolean(),
    });
    fc.assert(
      fc.property(options, ({size, seed, hasSeeds}) => {
        const fleet = createSettledFleet(size, seed);
        const oldRevision = fleet.service.publish('upstreams/s', '{"x": 1}');
        const base = fleet.service.publish('base', FIXTURES.base());
        fleet.run(SETTLE_MS);
        fleet.service.maxRevision = () => oldRevision;
        fleet.hasSeeds = hasSeeds;
        const [host] = fleet.hosts;
        fleet.kill(host!);
        fleet.run(SETTLE_MS);
        fleet.start(host!);
        fleet.run(SETTLE_MS);
        expect(host!.history.map(revision => revision.base)).to.eql([base]);
        expect(host!.alarms).to.include(Problem.LIST_REFUSED);
      }),
      RUNS,
    );
  });

  it('starts from peers while the service is down, even if the latest revision is invalid', () => {
    const isInvalid = fc.boolean();
    fc.assert(
      fc.property(SEED, isInvalid, (seed, invalid) => {
        const fleet = createSettledFleet(4, seed);
        const valid = fleet.service.publish('base', FIXTURES.base());
        fleet.run(SETTLE_MS);
        if (invalid) fleet.service.publish('base', FIXTURES.invalidBase);
        fleet.run(SETTLE_MS);
        fleet.service.isUp = () => false;
        const [host] = fleet.hosts;
        fleet.start(host!);
        fleet.run(ACTIVE_WITHIN_MS);
        expect(host!.history.map(({base}) => base)).to.eql([valid]);
        expect(host!.upstreamListRevision).to.be.above(0);
        const alarms = invalid ? [Problem.SETTINGS_REFUSED] : [];
        expect(host!.alarms).to.eql(alarms);
      }),
      {seed: 1, numRuns: 30},
    );
  });

  it('activates dependent base and overlay revisions together, in either publishing order', () => {
    fc.assert(
      fc.property(FLEET_SIZE, SEED, fc.boolean(), (size, seed, isBaseFirst) => {
        const fleet = createSettledFleet(size, seed);
        const before = fleet.live.map(({history}) => history.at(-1));
        const texts: [string, string][] = [
          ['base', FIXTURES.base(1)],
          ['sites/s', FIXTURES.overlay(1)],
        ];
        if (!isBaseFirst) texts.reverse();
        const first = fleet.service.publish(...texts[0]!);
        fleet.run(SETTLE_MS);
        expect(fleet.live.map(({history}) => history.at(-1))).to.eql(before);
        const alarms = fleet.live.flatMap(host => host.alarms);
        expect(alarms).to.eql(fleet.live.map(() => Problem.SETTINGS_REFUSED));
        const second = fleet.service.publish(...texts[1]!);
        fleet.run(ACTIVE_WITHIN_MS);
        const [base, overlay] = isBaseFirst ? [first, second] : [second, first];
        expect(fleet.listOutdated({base, overlay})).to.eql([]);
        const problems = fleet.live.map(host => host.replica!.problems());
        expect(problems.flat()).to.eql([]);
      }),
      {seed: 1, numRuns: 30},
    );
  });

  it('refuses an invalid revision as a whole and activates the next valid one', () => {
    const fleet = createSettledFleet(6, 1);
    const before = fleet.live.map(({history}) => history.length);
    for (const text of [
      FIXTURES.invalidBase,
      '{',
      '[]',
      'null',
      '{"__proto__":{}}',
    ]) {
      fleet.service.publish('base', text);
      fleet.run(SETTLE_MS);
    }
    const lengths = fleet.live.map(({history}) => history.length);
    expect(lengths).to.eql(before);
    for (const {alarms} of fleet.live) {
      expect(alarms).to.eql(Array(5).fill(Problem.SETTINGS_REFUSED));
    }
    const base = fleet.service.publish('base', FIXTURES.base());
    fleet.run(ACTIVE_WITHIN_MS);
    expect(fleet.listOutdated({base, overlay: 0})).to.eql([]);
  });

  it('raises alarms when the service is silent and when it returns old revisions', () => {
    const fleet = createSettledFleet(3, 1);
    fleet.service.isUp = () => false;
    fleet.run(90_000);
    for (const {alarms} of fleet.live) {
      expect(alarms).to.eql([Problem.SERVICE_SILENT]);
    }
    fleet.service.isUp = () => true;
    fleet.service.maxRevision = () => 0;
    fleet.run(SETTLE_MS);
    for (const {alarms} of fleet.live) {
      expect(alarms).to.include(Problem.SERVICE_STALE);
    }
    fleet.service.maxRevision = () => Infinity;
    fleet.run(SETTLE_MS);
    const problems = fleet.live.flatMap(({replica}) => replica!.problems());
    expect(problems).to.eql([]);
  });
});

const ACTIONS = [
  'crash',
  'start',
  'pause',
  'partition',
  'heal partition',
  'service down',
  'service up',
  'slow service',
  'stale service',
  'publish base',
  'publish overlay',
  'publish invalid base',
  'publish host list',
] as const;

/** Creates a started fleet on which all published values are active. */
function createSettledFleet(
  size: number,
  seed: number,
  domains = DOMAINS,
): SimulatedFleet {
  const fleet = new SimulatedFleet(size, domains, seed);
  fleet.service.publish('hosts/s', FIXTURES.hosts);
  fleet.service.publish('upstreams/s', FIXTURES.upstreams);
  const base = fleet.service.publish('base', FIXTURES.base());
  const overlay = fleet.service.publish('sites/s', FIXTURES.overlay());
  fleet.startAll();
  fleet.run(ACTIVE_WITHIN_MS);
  expect(fleet.listOutdated({base, overlay})).to.eql([]);
  return fleet;
}

function performAction(
  fleet: SimulatedFleet,
  action: (typeof ACTIONS)[number],
  choice: number,
  durationMs: number,
): void {
  const {service} = fleet;
  const host = fleet.hosts[choice % fleet.hosts.length]!;
  switch (action) {
    case 'crash':
      return fleet.kill(host);
    case 'start':
      return fleet.start(host);
    case 'pause':
      return fleet.pause(host, 3 * durationMs);
    case 'partition':
      fleet.isLinked = (from, to) =>
        isBelow(from, choice) === isBelow(to, choice);
      return;
    case 'heal partition':
      fleet.isLinked = () => true;
      return;
    case 'service down':
      service.isUp = () => false;
      return;
    case 'service up':
      return service.clearFaults();
    case 'slow service':
      service.latencyMs = durationMs / 2;
      return;
    case 'stale service':
      service.maxRevision = name => (isBelow(name, choice) ? Infinity : choice);
      return;
    case 'publish base':
      return void service.publish('base', FIXTURES.base());
    case 'publish overlay':
      return void service.publish('sites/s', FIXTURES.overlay(choice % 2));
    case 'publish invalid base':
      return void service.publish('base', FIXTURES.invalidBase);
    case 'publish host list':
      return void service.publish('hosts/s', FIXTURES.hosts);
  }
}

function isBelow(name: string, pivot: number): boolean {
  return Number(name.slice(1)) < pivot;
}

/** Ends all faults, and resumes or starts every host. */
function heal(fleet: SimulatedFleet): void {
  fleet.isLinked = () => true;
  fleet.service.clearFaults();
  for (const host of fleet.hosts) {
    fleet.resume(host);
    if (!host.replica) fleet.start(host);
  }
}
