import type {UpstreamEntry} from '@parsleywood/forwarding';
import {createUpstream} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import {pickServiceUpstream} from './pick_service_upstream.js';

function entry(id: string, failureDomain: string, slots = 6): UpstreamEntry {
  return createUpstream(id, {failureDomain, slots});
}

describe('pickServiceUpstream', () => {
  const upstreams = [entry('a', 'd1'), entry('b', 'd2'), entry('c', 'd3')];
  const pick = (
    requests: Record<string, number>,
    tieBreak = 0,
  ): string | undefined =>
    pickServiceUpstream(upstreams, 'd2', id => requests[id] ?? 0, tieBreak)?.id;

  it('prefers the failure domain of the host when loads are equal', () => {
    expect(pick({a: 1, b: 1, c: 1})).to.equal('b');
  });

  it('chooses another failure domain when the own one has one more request', () => {
    expect(pick({a: 0, b: 1, c: 1})).to.equal('a');
  });

  it('selects among equally loaded upstreams by the tie-break number', () => {
    expect(pick({a: 0, b: 1, c: 0}, 0)).to.equal('a');
    expect(pick({a: 0, b: 1, c: 0}, 0.99)).to.equal('c');
  });

  it('returns undefined for an empty list of upstreams', () => {
    expect(pickServiceUpstream([], 'd', () => 0, 0)).to.equal(undefined);
  });
});
