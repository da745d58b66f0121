import {expect} from 'chai';
import {PeerRoster} from './peer_roster.js';
import {createHeartbeat} from './testing/create_heartbeat.js';

describe('PeerRoster', () => {
  let roster: PeerRoster;

  beforeEach(() => {
    roster = new PeerRoster('self', ['self', 'seed']);
  });

  it('contacts the seeds and the addresses that they know', () => {
    expect(roster.listTargets(0)).to.deep.equal(['seed']);
    roster.recordHeartbeat(
      createHeartbeat('seed', {knownAddresses: ['self', 'b']}),
      0,
    );
    expect(roster.listTargets(0)).to.have.members(['seed', 'b']);
  });

  it('keeps a host alive while its heartbeats arrive', () => {
    roster.recordHeartbeat(createHeartbeat('b'), 0);
    expect(roster.listAlive(1_199)).to.have.length(1);
    expect(roster.hearsDirectly('b', 1_199)).to.equal(true);
    expect(roster.listAlive(1_200)).to.have.length(0);
    roster.recordHeartbeat(createHeartbeat('b'), 2_000);
    expect(roster.listAlive(2_000)).to.have.length(1);
  });

  it('reports that another incarnation runs at an address', () => {
    expect(roster.recordHeartbeat(createHeartbeat('b'), 0)).to.equal(undefined);
    expect(roster.recordHeartbeat(createHeartbeat('b'), 1)).to.equal(undefined);
    expect(
      roster.recordHeartbeat(createHeartbeat('b', {incarnation: '2'}), 2),
    ).to.equal('1');
  });

  it('accepts relayed heartbeats unless it has newer ones', () => {
    roster.setRelayed(true);
    roster.recordHeartbeat(createHeartbeat('b', {incarnation: '2'}), 1_000);
    expect(
      roster.recordRelayedHeartbeat(
        createHeartbeat('b', {incarnation: '1'}),
        900,
      ),
    ).to.equal(undefined);
    expect(roster.listAlive(1_000)[0]?.incarnation).to.equal('2');
    expect(
      roster.recordRelayedHeartbeat(
        createHeartbeat('b', {incarnation: '3'}),
        1_100,
      ),
    ).to.equal('2');
    roster.recordRelayedHeartbeat(createHeartbeat('self'), 1_100);
    roster.recordRelayedHeartbeat(createHeartbeat('c'), 1_500);
    expect(roster.hearsDirectly('c', 1_500)).to.equal(false);
    const names = roster.listAlive(5_200).map(one => one.peersAddress);
    expect(names).to.have.members(['b', 'c']);
    expect(roster.listAlive(5_299)).to.have.length(2);
    expect(roster.listAlive(5_300)).to.have.length(1);
    expect(roster.listDirectPeers(1_500)).to.have.members(['seed', 'b']);
  });

  it('keeps a host alive that a relay still hears, unless it is unknown', () => {
    roster.setRelayed(true);
    roster.recordRelayedHeartbeat(createHeartbeat('b'), 1_000);
    roster.extendSighting('b', 3_000);
    roster.extendSighting('b', 2_000);
    roster.extendSighting('unknown', 3_000);
    const names = roster.listAlive(7_100).map(one => one.peersAddress);
    expect(names).to.deep.equal(['b']);
    expect(roster.listAlive(7_200)).to.have.length(0);
  });

  it('drops silent addresses but never seeds', () => {
    roster.recordHeartbeat(createHeartbeat('b'), 0);
    expect(roster.listTargets(30_001)).to.deep.equal(['seed']);
  });
});
