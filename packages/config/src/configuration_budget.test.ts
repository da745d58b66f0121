import {expect} from 'chai';
import {FIXTURES} from './fixtures.test.js';
import {SimulatedFleet} from './simulated_fleet.test.js';

/** Calls per second that the service allows for all hosts together. */
const READ_BUDGET_PER_SECOND = 2_000;
const ACTIVE_WITHIN_MS = 16_000;
/** Revision of the overlay that `createFleet` publishes. */
const OVERLAY_REVISION = 4;
const SIZES = [
  {hosts: 9, domains: 3},
  {hosts: 360, domains: 23},
];

for (const {hosts, domains} of SIZES) {
  describe(`ConfigurationReplica, service calls of ${hosts} hosts`, () => {
    for (const hasSeeds of [true, false]) {
      const how = hasSeeds ? 'with' : 'without';
      it(`stay within the budget when all hosts start at once ${how} seeds`, () => {
        const fleet = createFleet(hosts, domains);
        fleet.hasSeeds = hasSeeds;
        expectActiveWithinBudget(fleet, () => fleet.startAll());
      });
    }

    it('stay within the budget during and after an outage', () => {
      const fleet = createFleet(hosts, domains);
      expectActiveWithinBudget(fleet, () => fleet.startAll());
      fleet.service.isUp = () => false;
      fleet.run(30_000);
      expectActiveWithinBudget(fleet, () => {
        fleet.service.isUp = () => true;
      });
    });

    it('stay within the budget when all hosts start during an outage that then ends', () => {
      const fleet = createFleet(hosts, domains);
      fleet.service.isUp = () => false;
      fleet.startAll();
      fleet.run(20_000);
      expectActiveWithinBudget(fleet, () => {
        fleet.service.isUp = () => true;
      });
    });

    it('stay at one per watcher, key and second, and activate a new revision within 2 s', () => {
      const fleet = createFleet(hosts, domains);
      expectActiveWithinBudget(fleet, () => fleet.startAll());
      const fromMs = fleet.queue.nowMs;
      fleet.run(20_000);
      // Two watchers per failure domain and key, four keys, a call per second.
      const maxCalls = Math.min(hosts, 2 * domains) * 4;
      expect(fleet.service.countPeakCalls(1_000, fromMs)).to.be.at.most(
        maxCalls,
      );
      const base = fleet.service.publish('base', FIXTURES.base());
      fleet.run(2_000);
      expect(fleet.listOutdated({base, overlay: 0})).to.eql([]);
    });
  });
}

function createFleet(hosts: number, domains: number): SimulatedFleet {
  const fleet = new SimulatedFleet(hosts, domains, 1);
  fleet.service.publish('hosts/s', FIXTURES.hosts);
  fleet.service.publish('upstreams/s', FIXTURES.upstreams);
  fleet.service.publish('base', FIXTURES.base());
  fleet.service.publish('sites/s', FIXTURES.overlay());
  return fleet;
}

/**
 * Runs `trigger` and publishes a base. Expects the latest revisions to be active
 * on all hosts in time, and the service calls to stay within the budget.
 */
function expectActiveWithinBudget(
  fleet: SimulatedFleet,
  trigger: () => void,
): void {
  trigger();
  const base = fleet.service.publish('base', FIXTURES.base());
  fleet.run(ACTIVE_WITHIN_MS);
  expect(fleet.listOutdated({base, overlay: OVERLAY_REVISION})).to.eql([]);
  for (const withinMs of [1_000, 100]) {
    const budget = (READ_BUDGET_PER_SECOND * withinMs) / 1_000;
    expect(fleet.service.countPeakCalls(withinMs)).to.be.at.most(budget);
  }
}
