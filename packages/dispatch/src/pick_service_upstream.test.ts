import type {UpstreamEntry} from '@parsleywood/forwarding';
import {describeUpstream} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import {pickServiceUpstream} from './pick_service_upstream.js';

function entry(id: string, failureDomain: string, slots = 6): UpstreamEntry {
  return describeUpstream(id, {failureDomain, slots});
}

describe('pickServiceUpstream', () => {
  const upstreams = [entry('a', 'd1'), entry('b', 'd2'), entry('c', 'd3')];
  const pick = (
    requests: Record<string, number>,
    draw = 0,
  ): string | undefined =>
    pickServiceUpstream(upstreams, 'd2', id => requests[id] ?? 0, draw)?.id;

  it('prefers the own failure domain while loads are equal', () => {
    expect(pick({a: 1, b: 1, c: 1})).to.equal('b');
  });

  it('goes elsewhere when the near one has a request more', () => {
    expect(pick({a: 0, b: 1, c: 1})).to.equal('a');
  });

  it('spreads equal choices', () => {
    expect(pick({a: 0, b: 1, c: 0}, 0)).to.equal('a');
    expect(pick({a: 0, b: 1, c: 0}, 0.99)).to.equal('c');
  });

  it('picks nothing out of nothing', () => {
    expect(pickServiceUpstream([], 'd', () => 0, 0)).to.equal(undefined);
  });
});
