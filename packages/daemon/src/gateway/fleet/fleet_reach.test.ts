import {mock} from 'node:test';
import {expect} from 'chai';
import {selectReachingPeers} from '@parsleywood/membership';
import {VirtualFleet} from '../../testing/virtual_fleet.js';

const DOMAINS = 5;
const STEP_MS = 10;
const SETTLE_MS = 8_000;
const CHECK_MS = 50;
const WINDOW_MS = 3_500;
const CALM_MS = 1_000;
/** Messages of a host a second, on average. */
const MAX_MESSAGES = 25;
/** Connections that a host opens a second to test its reach, on average. */
const MAX_CONNECTIONS = 10;
/** Time for callers to go elsewhere, without the directory's time to live of 1 s. */
const MAX_KNOWN_MS = 3_000;
/** One host of so many has traffic of itself, and one that is cut off. */
const TRAFFIC_STRIDE = 5;
const LARGEST_FLEET = 195;
/** The cut that takes longest to be known; each takes 10 s of the test's time there. */
const SLOWEST_CUT = 'a failure domain';

type Host = VirtualFleet['hosts'][number];

const CUTS: Record<string, (fleet: VirtualFleet) => Host[]> = {
  'one host': ({hosts}) => hosts.slice(20, 21),
  'one relay': ({watchers}) => watchers.slice(-1),
  'all relays': ({watchers}) => watchers,
  'a failure domain': ({hosts}) =>
    hosts.filter(({failureDomain}) => failureDomain === 'd1'),
  '60 in 100 of the hosts': ({hosts}) =>
    hosts.filter((_host, at) => at % 10 < 6),
};

/** Runs a fleet with its timers on the same virtual time. */
function run(fleet: VirtualFleet, ms: number, onCheck?: () => void): void {
  fleet.run(ms, () => {
    mock.timers.tick(STEP_MS);
    if (fleet.nowMs % CHECK_MS !== 0) return;
    fleet.answerWatches(1);
    onCheck?.();
  });
}

/**
 * Whether each host names all live hosts that are not cut, and none that is, and
 * those that are cut know that others serve.
 */
function isKnown({nowMs, liveHosts}: VirtualFleet): boolean {
  const isCut = new Map(
    liveHosts.map(({address, reach}) => [address, reach.isCut]),
  );
  const reaching = liveHosts.filter(({reach}) => !reach.isCut).length;
  return liveHosts.every(({reach, fleet}) => {
    if (reach.isCut !== reach.isOutOfService(nowMs)) return false;
    const named = selectReachingPeers(
      fleet.listHeartbeats(),
      reach.getState(nowMs),
    ).map(({peersAddress}) => isCut.get(peersAddress));
    const own = reach.isCut ? 0 : 1;
    return (
      !named.includes(true) &&
      named.filter(one => one === false).length + own === reaching
    );
  });
}

/** Runs for a time; returns when all hosts had come to know the state for good. */
function measureKnownMs(fleet: VirtualFleet): number {
  const startMs = fleet.nowMs;
  let knownMs = 0;
  run(fleet, WINDOW_MS, () => {
    if (!isKnown(fleet)) knownMs = fleet.nowMs - startMs + CHECK_MS;
  });
  return knownMs;
}

function setTraffic({hosts}: VirtualFleet, [first]: readonly Host[]): void {
  hosts.forEach((host, at) => {
    host.reach.hasTraffic = host === first || at % TRAFFIC_STRIDE === 0;
  });
}

function countConnections({hosts}: VirtualFleet): number {
  return hosts.reduce((total, {reach}) => total + reach.connections, 0);
}

function countMessages({hosts}: VirtualFleet): number {
  return hosts.reduce((total, {sent}) => total + sent, 0);
}

/** Cuts hosts off, or ends that; returns what it takes until all know. */
function measureChange(fleet: VirtualFleet, cut: Host[], isCut: boolean) {
  const connections = countConnections(fleet);
  const messages = countMessages(fleet);
  for (const {reach} of cut) reach.isCut = isCut;
  return {
    knownMs: measureKnownMs(fleet),
    connections: countConnections(fleet) - connections,
    messages: countMessages(fleet) - messages,
  };
}

for (const count of [24, 78, LARGEST_FLEET]) {
  describe(`Reach of upstreams in a fleet of ${count} hosts`, () => {
    let fleet: VirtualFleet;

    before(() => {
      mock.timers.enable({apis: ['setTimeout']});
      fleet = new VirtualFleet(count, DOMAINS, 1);
      run(fleet, SETTLE_MS);
    });

    after(() => {
      mock.timers.reset();
    });

    afterEach(() => {
      // Without a host that is cut off nothing is tested.
      const connections = countConnections(fleet);
      run(fleet, CALM_MS);
      expect(countConnections(fleet)).to.equal(connections);
    });

    for (const [name, select] of Object.entries(CUTS)) {
      if (count === LARGEST_FLEET && name !== SLOWEST_CUT) continue;
      it(`is known everywhere in time when it is lost for ${name}, and back`, () => {
        const cut = select(fleet);
        setTraffic(fleet, cut);
        run(fleet, CALM_MS);
        const lost = measureChange(fleet, cut, true);
        const back = measureChange(fleet, cut, false);
        const perHostAndS = 1_000 / WINDOW_MS / count;
        for (const {knownMs, messages, connections} of [lost, back]) {
          expect(knownMs).to.be.below(MAX_KNOWN_MS);
          expect(messages * perHostAndS).to.be.below(MAX_MESSAGES);
          expect(connections * perHostAndS).to.be.below(MAX_CONNECTIONS);
        }
      });
    }
  });
}
