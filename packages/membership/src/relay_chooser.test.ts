import {expect} from 'chai';
import type {PeerBeat} from './peer_beat.js';
import {PeerStage} from './peer_stage.js';
import {RelayChooser} from './relay_chooser.js';

function host(at: number, changes: Partial<PeerBeat> = {}): PeerBeat {
  return {
    peersAddress: `h${String(at).padStart(3, '0')}`,
    callersAddress: `c${at}`,
    failureDomain: `d${at % 4}`,
    incarnation: '1',
    stage: PeerStage.READY,
    revision: 1,
    hearsReceiver: true,
    knownAddresses: [],
    processorShare: at % 10 === 0 ? 1.35 : 0.324,
    subscribes: false,
    relays: false,
    ...changes,
  };
}

function hosts(count: number): PeerBeat[] {
  return Array.from({length: count}, (_none, at) => host(at));
}

function others(all: readonly PeerBeat[], self: PeerBeat): PeerBeat[] {
  return all.filter(({peersAddress}) => peersAddress !== self.peersAddress);
}

function only<Value>(values: readonly Value[], at: number): Value {
  const value = values[at];
  if (value === undefined) throw new Error(`nothing at ${at}`);
  return value;
}

describe('RelayChooser', () => {
  it('lets up to 16 hosts tell each other directly', () => {
    const chooser = new RelayChooser(() => 0);
    const all = hosts(17);
    const self = only(all, 3);
    expect(chooser.choose(self, others(hosts(16), self))).to.equal(undefined);
    expect(chooser.choose(self, others(all, self))).to.not.equal(undefined);
  });

  it('takes the strongest hosts of each domain, and a source in its own', () => {
    const all = hosts(64);
    for (const self of all) {
      const choice = new RelayChooser(() => 0.5).choose(
        self,
        others(all, self),
      );
      const relays = all.filter(one =>
        choice?.relays.includes(one.peersAddress),
      );
      const isRelay = choice?.source === undefined;
      expect(relays.length + (isRelay ? 1 : 0)).to.equal(4);
      const source = relays.find(one => one.peersAddress === choice?.source);
      if (!isRelay) expect(source?.failureDomain).to.equal(self.failureDomain);
    }
  });

  it('grows with the root of the number of hosts', () => {
    for (const [count, relays] of [
      [64, 4],
      [300, 12],
      [1_000, 16],
    ] as const) {
      const all = hosts(count);
      const self = only(all, 17);
      const choice = new RelayChooser(() => 0).choose(self, others(all, self));
      expect(choice?.relays).to.have.length(relays);
    }
  });

  it('stays with its source until that is gone', () => {
    let drawn = 0;
    const chooser = new RelayChooser(() => drawn);
    const all = hosts(300);
    const self = only(all, 17);
    const first = chooser.choose(self, others(all, self))?.source;
    drawn = 0.99;
    expect(chooser.choose(self, others(all, self))?.source).to.equal(first);
    const left = others(all, self).filter(one => one.peersAddress !== first);
    const second = chooser.choose(self, left)?.source;
    expect(second).to.not.equal(first);
    expect(left.some(one => one.peersAddress === second)).to.equal(true);
  });

  it('finds a source elsewhere when its domain has no other host', () => {
    const all = hosts(64).filter(({failureDomain}) => failureDomain !== 'd1');
    const self = host(5, {stage: PeerStage.STOPPING});
    const choice = new RelayChooser(() => 0).choose(self, all);
    expect(choice?.source).to.be.a('string');
  });

  it('tells its news also to those that relay by the choice of others', () => {
    const all = hosts(64);
    const self = only(all, 17);
    const saying = all.map(one =>
      one.peersAddress === 'h007' ? {...one, relays: true} : one,
    );
    const choice = new RelayChooser(() => 0).choose(self, others(saying, self));
    expect(choice?.relays).to.include('h007');
  });

  it('takes no host that is stopping', () => {
    const all = hosts(64).map(one =>
      one.processorShare > 1 ? {...one, stage: PeerStage.STOPPING} : one,
    );
    const self = only(all, 17);
    const choice = new RelayChooser(() => 0).choose(self, others(all, self));
    const stopping = all
      .filter(({stage}) => stage === PeerStage.STOPPING)
      .map(({peersAddress}) => peersAddress);
    expect(choice?.relays).to.not.include.members(stopping.slice(0, 1));
    expect(choice?.relays).to.have.length(4);
  });
});
