import {gzipSync} from 'node:zlib';
import {expect} from 'chai';
import {VirtualFleet} from '../../testing/virtual_fleet.js';

const HOSTS = 195;
const DOMAINS = 5;
const SETTLE_MS = 8_000;
/** Relays of 195 hosts in five failure domains. */
const RELAYS = 10;
/** A host that is gone is named no more after this time. */
const GONE_MS = 6_000;
/** Hosts that all others contact, so that parts of the site find each other. */
const SEEDS = 3;
/** Most messages a second of a host that is neither relay nor seed. */
const MAX_MESSAGES_PER_S = 6;
const WINDOW_MS = 6_000;
const CHANGE_MS = 100;

describe('FleetMembership of a large fleet', () => {
  for (const seed of [1, 2, 3]) {
    describe(`with seed ${seed}`, () => {
      let fleet: VirtualFleet;
      let revision = 1;

      /** Checks that each host knows all live hosts, and counts others it names. */
      function countGone(): number {
        const live = new Set(fleet.liveHosts.map(({address}) => address));
        let gone = 0;
        for (const {address, fleet: membership} of fleet.liveHosts) {
          const named = new Set([address, ...membership.listPeers()]);
          for (const one of live) {
            if (!named.has(one)) throw new Error(`${address} lost ${one}`);
          }
          gone += named.size - live.size;
        }
        return gone;
      }

      before(() => {
        fleet = new VirtualFleet(HOSTS, DOMAINS, seed);
        fleet.run(SETTLE_MS, () => {
          fleet.answerWatches(revision);
        });
      });

      it('knows all hosts, by few messages, and lets relays alone watch', () => {
        expect(countGone()).to.equal(0);
        for (const host of fleet.hosts) host.sent = 0;
        fleet.run(WINDOW_MS, () => {
          fleet.answerWatches(revision);
        });
        expect(countGone()).to.equal(0);
        const relays = fleet.watchers;
        expect(relays).to.have.length(RELAYS);
        const others = fleet.hosts
          .slice(SEEDS)
          .filter(host => !relays.includes(host));
        const most = Math.max(...others.map(({sent}) => sent));
        expect((most * 1_000) / WINDOW_MS).to.be.below(MAX_MESSAGES_PER_S);
      });

      it('has changes of the store at all hosts at once', () => {
        revision++;
        fleet.run(CHANGE_MS, () => {
          fleet.answerWatches(revision);
        });
        const behind = fleet.liveHosts.filter(
          ({updater}) => updater.position.revision < revision,
        );
        expect(behind).to.have.length(0);
      });

      it('loses no live host when half of the relays die at once, and learns of a change', () => {
        const relays = fleet.watchers;
        for (const host of relays.slice(0, RELAYS / 2)) host.isAlive = false;
        revision++;
        let stepsMs = 0;
        let inForceMs = Infinity;
        fleet.run(GONE_MS, () => {
          stepsMs += 10;
          fleet.answerWatches(revision);
          countGone();
          const isEverywhere = fleet.liveHosts.every(
            ({updater}) => updater.position.revision === revision,
          );
          if (isEverywhere) inForceMs = Math.min(inForceMs, stepsMs);
        });
        expect(countGone()).to.equal(0);
        expect(inForceMs).to.be.below(2_500);
        expect(fleet.watchers).to.have.length(RELAYS);
      });
    });
  }
});

describe('FleetMembership and messages that cannot be handled', () => {
  it('handles the others of the same delivery', () => {
    const [host] = new VirtualFleet(2, 1, 1).hosts;
    const position = {epoch: 0, revision: 9};
    const odd = [Buffer.of(1), gzipSync('null'), gzipSync('{"updated":[]}')];
    const deltas = odd.map(change => ({
      $case: 'siteDelta' as const,
      value: {...position, fromRevision: 0, mayHaveExpired: false, change},
    }));
    const json = JSON.stringify({...position, upstreams: []});
    const states = ['{', 'null', '{"upstreams":0}', json].map(text => ({
      $case: 'siteState' as const,
      value: {revision: 9, json: text},
    }));
    host?.fleet.handleDelivery({
      from: 'h1:1',
      fromIncarnation: '1',
      hybridTime: undefined,
      messages: [...deltas, ...states].map(body => ({
        body: {$case: 'fleet' as const, value: {body}},
      })),
    });
    expect(host?.updater.position).to.deep.equal(position);
  });
});
