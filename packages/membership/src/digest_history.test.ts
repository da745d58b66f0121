import {expect} from 'chai';
import {DigestHistory} from './digest_history.js';
import type {PeerHeartbeat} from './peer_heartbeat.js';
import type {PeerSighting} from './peer_sighting.js';
import {PeerStage} from './peer_stage.js';
import {createHeartbeat} from './testing/create_heartbeat.js';

function buildSighting(
  peersAddress: string,
  changes: Partial<PeerHeartbeat> = {},
): PeerSighting {
  const beat = createHeartbeat(peersAddress, changes);
  return {beat, heardAtMs: 0};
}

describe('DigestHistory', () => {
  it('repeats what has changed, and at times all', () => {
    const history = new DigestHistory();
    const list = (...sightings: PeerSighting[]): string[] =>
      history.split(sightings).changed.map(({beat}) => beat.peersAddress);
    const a = buildSighting('a');
    const b = buildSighting('b');
    expect(list(a, b)).to.deep.equal(['a', 'b']);
    expect(list(a, buildSighting('b', {revision: 9}))).to.deep.equal([]);
    const stopping = buildSighting('b', {stage: PeerStage.STOPPING});
    expect(list(a, stopping, buildSighting('c'))).to.deep.equal(['b', 'c']);
    const restarted = buildSighting('a', {incarnation: '2'});
    expect(list(restarted, stopping)).to.deep.equal(['a']);
    expect(list(restarted, stopping)).to.deep.equal(['a', 'b']);
  });

  it('names every host in one of the two lists', () => {
    const history = new DigestHistory();
    const sightings = ['a', 'b', 'c'].map(name => buildSighting(name));
    for (let round = 0; round < 6; round++) {
      const {changed, unchanged} = history.split(sightings);
      expect([...changed, ...unchanged]).to.have.members(sightings);
    }
  });
});
