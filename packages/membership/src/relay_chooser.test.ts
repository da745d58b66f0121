import {expect} from 'chai';
import type {PeerHeartbeat} from './peer_heartbeat.js';
import {PeerStage} from './peer_stage.js';
import {RelayChooser} from './relay_chooser.js';
import {createHeartbeat} from './testing/create_heartbeat.js';

function buildPeer(
  index: number,
  changes: Partial<PeerHeartbeat> = {},
): PeerHeartbeat {
  return createHeartbeat(`h${String(index).padStart(3, '0')}`, {
    failureDomain: `d${index % 4}`,
    processorShare: index % 10 === 0 ? 1.35 : 0.324,
    ...changes,
  });
}

function buildPeers(count: number): PeerHeartbeat[] {
  return Array.from({length: count}, (_none, at) => buildPeer(at));
}

function excludeSelf(
  all: readonly PeerHeartbeat[],
  self: PeerHeartbeat,
): PeerHeartbeat[] {
  return all.filter(({peersAddress}) => peersAddress !== self.peersAddress);
}

function getAt<Value>(values: readonly Value[], at: number): Value {
  const value = values[at];
  if (value === undefined) throw new Error(`no element at index ${at}`);
  return value;
}

describe('RelayChooser', () => {
  it('lets up to 16 hosts send to each other directly', () => {
    const chooser = new RelayChooser(() => 0);
    const all = buildPeers(17);
    const self = getAt(all, 3);
    expect(chooser.choose(self, excludeSelf(buildPeers(16), self))).to.equal(
      undefined,
    );
    expect(chooser.choose(self, excludeSelf(all, self))).to.not.equal(
      undefined,
    );
  });

  it('chooses the largest hosts of each domain, and a subscribed relay in its own domain', () => {
    const all = buildPeers(64);
    for (const self of all) {
      const choice = new RelayChooser(() => 0.5).choose(
        self,
        excludeSelf(all, self),
      );
      const relays = all.filter(one =>
        choice?.relays.includes(one.peersAddress),
      );
      const isRelay = choice?.subscribedRelay === undefined;
      expect(relays.length + (isRelay ? 1 : 0)).to.equal(4);
      const subscribedRelay = relays.find(
        one => one.peersAddress === choice?.subscribedRelay,
      );
      if (!isRelay) {
        expect(subscribedRelay?.failureDomain).to.equal(self.failureDomain);
      }
    }
  });

  it('scales the relays with the square root of the number of hosts', () => {
    for (const [count, relays] of [
      [64, 4],
      [300, 12],
      [1_000, 16],
    ] as const) {
      const all = buildPeers(count);
      const self = getAt(all, 17);
      const choice = new RelayChooser(() => 0).choose(
        self,
        excludeSelf(all, self),
      );
      expect(choice?.relays).to.have.length(relays);
    }
  });

  it('keeps its subscribed relay until that host is gone', () => {
    let fraction = 0;
    const chooser = new RelayChooser(() => fraction);
    const all = buildPeers(300);
    const self = getAt(all, 17);
    const first = chooser.choose(self, excludeSelf(all, self))?.subscribedRelay;
    fraction = 0.99;
    expect(
      chooser.choose(self, excludeSelf(all, self))?.subscribedRelay,
    ).to.equal(first);
    const remaining = excludeSelf(all, self).filter(
      one => one.peersAddress !== first,
    );
    const second = chooser.choose(self, remaining)?.subscribedRelay;
    expect(second).to.not.equal(first);
    expect(remaining.some(one => one.peersAddress === second)).to.equal(true);
  });

  it('leaves a relay that is silent, also for one of another domain', () => {
    const chooser = new RelayChooser(() => 0);
    const all = buildPeers(64);
    const self = getAt(all, 17);
    const others = excludeSelf(all, self);
    const first = chooser.choose(self, others)?.subscribedRelay;
    const second = chooser.choose(
      self,
      others,
      address => address === first,
    )?.subscribedRelay;
    expect(second).to.be.a('string');
    expect(second).to.not.equal(first);
  });

  it('chooses a subscribed relay elsewhere when its domain has no other host', () => {
    const all = buildPeers(64).filter(
      ({failureDomain}) => failureDomain !== 'd1',
    );
    const self = buildPeer(5, {stage: PeerStage.STOPPING});
    const choice = new RelayChooser(() => 0).choose(self, all);
    expect(choice?.subscribedRelay).to.be.a('string');
  });

  it('also sends to hosts that announce themselves as relays', () => {
    const all = buildPeers(64);
    const self = getAt(all, 17);
    const peers = all.map(one =>
      one.peersAddress === 'h007' ? {...one, relays: true} : one,
    );
    const choice = new RelayChooser(() => 0).choose(
      self,
      excludeSelf(peers, self),
    );
    expect(choice?.relays).to.include('h007');
  });

  it('does not choose stopping hosts as relays', () => {
    const all = buildPeers(64).map(one =>
      one.processorShare > 1 ? {...one, stage: PeerStage.STOPPING} : one,
    );
    const self = getAt(all, 17);
    const choice = new RelayChooser(() => 0).choose(
      self,
      excludeSelf(all, self),
    );
    const stopping = all
      .filter(({stage}) => stage === PeerStage.STOPPING)
      .map(({peersAddress}) => peersAddress);
    expect(choice?.relays).to.not.include.members(stopping.slice(0, 1));
    expect(choice?.relays).to.have.length(4);
  });
});
