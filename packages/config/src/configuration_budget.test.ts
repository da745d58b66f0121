import {expect} from 'chai';
import {FIXTURES} from './fixtures.test.js';
import {SimulatedFleet} from './simulated_fleet.test.js';

/** Calls a second that the service grants to all its readers together. */
const READ_BUDGET_PER_SECOND = 2_000;
const ACTIVE_WITHIN_MS = 16_000;
/** Revision of the overlay that `createFleet` publishes. */
const OVERLAY_REVISION = 4;
const SIZES = [
  {hosts: 9, domains: 3},
  {hosts: 360, domains: 23},
];

for (const {hosts, domains} of SIZES) {
  describe(`ConfigurationLedger, reads of ${hosts} hosts`, () => {
    for (const hasSeeds of [true, false]) {
      const how = hasSeeds ? 'with' : 'without';
      it(`stay in the budget when all start at once ${how} seeds`, () => {
        const fleet = createFleet(hosts, domains);
        fleet.hasSeeds = hasSeeds;
        expectActiveWithinBudget(fleet, () => fleet.startAll());
      });
    }

    it('stay in the budget in an outage and after it', () => {
      const fleet = createFleet(hosts, domains);
      expectActiveWithinBudget(fleet, () => fleet.startAll());
      fleet.service.isUp = () => false;
      fleet.run(30_000);
      expectActiveWithinBudget(fleet, () => {
        fleet.service.isUp = () => true;
      });
    });

    it('stay in the budget when all start during an outage that ends', () => {
      const fleet = createFleet(hosts, domains);
      fleet.service.isUp = () => false;
      fleet.startAll();
      fleet.run(20_000);
      expectActiveWithinBudget(fleet, () => {
        fleet.service.isUp = () => true;
      });
    });

    it('stay few, and suffice for a publication to be in force in two seconds', () => {
      const fleet = createFleet(hosts, domains);
      expectActiveWithinBudget(fleet, () => fleet.startAll());
      const fromMs = fleet.queue.nowMs;
      fleet.run(20_000);
      // Two watchers of four keys in each failure domain, once a second.
      const most = Math.min(hosts, 2 * domains) * 4;
      expect(fleet.service.countPeakCalls(1_000, fromMs)).to.be.at.most(most);
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

/** Expects the latest revisions everywhere in time and reads in the budget. */
function expectActiveWithinBudget(
  fleet: SimulatedFleet,
  cause: () => void,
): void {
  cause();
  const base = fleet.service.publish('base', FIXTURES.base());
  fleet.run(ACTIVE_WITHIN_MS);
  expect(fleet.listOutdated({base, overlay: OVERLAY_REVISION})).to.eql([]);
  for (const withinMs of [1_000, 100]) {
    const budget = (READ_BUDGET_PER_SECOND * withinMs) / 1_000;
    expect(fleet.service.countPeakCalls(withinMs)).to.be.at.most(budget);
  }
}
