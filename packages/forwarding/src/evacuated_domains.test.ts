import {expect} from 'chai';
import {EvacuatedDomains} from './evacuated_domains.js';

const MOVE_MS = 2_000;
const HOLD_MS = 10_000;

function at(revision: number, epoch = 1): {epoch: number; revision: number} {
  return {epoch, revision};
}

describe('EvacuatedDomains', () => {
  it('does not move all traffic of a domain to the others at once', () => {
    const domains = new EvacuatedDomains(5_000);
    domains.add('a', at(1), 0, 0);
    const shares = [0, 500, 1_000, MOVE_MS, 9_000].map(nowMs =>
      domains.getShare('a', nowMs),
    );
    expect(shares).to.deep.equal([1, 0.75, 0.5, 0, 0]);
    expect(domains.getShare('b', 0)).to.equal(1);
  });

  it('does not exceed a short bound, or the bound of a late change, by the move', () => {
    const short = new EvacuatedDomains(3_500);
    short.add('a', at(1), 0, 0);
    expect(short.getShare('a', 500)).to.equal(0);
    const shortest = new EvacuatedDomains(1_000);
    shortest.add('a', at(1), 0, 0);
    expect(shortest.getShare('a', 0)).to.equal(0);
    const late = new EvacuatedDomains(5_000);
    late.add('a', at(1), 1_000, 0);
    late.add('b', at(1), Infinity, 0);
    expect(['a', 'b'].map(it => late.getShare(it, 0))).to.deep.equal([0.5, 0]);
    late.add('a', at(2), 0, 500);
    expect(late.getShare('a', 500)).to.equal(0.25);
  });

  it('does not lose an evacuation that a copy of the store lacks', () => {
    const domains = new EvacuatedDomains();
    domains.replace(['a', 'b'], at(5), 0);
    domains.rebase(['b'], at(3, 2), 1_000);
    domains.replace(['b'], at(4, 2), 2_000);
    expect(domains.list()).to.deep.equal(['b']);
    expect(domains.getShare('a', 1_000 + HOLD_MS - 1)).to.equal(0);
    expect(domains.getShare('a', 1_000 + HOLD_MS)).to.equal(1);
    domains.rebase([], at(1, 3), 2_000);
    domains.remove('b');
    expect(domains.listInForce(2_000)).to.deep.equal(['a']);
  });

  it('does not take an evacuation back by a list from before it', () => {
    const domains = new EvacuatedDomains();
    domains.add('a', at(9), 0, 0);
    domains.replace([], at(7), 0);
    expect(domains.list()).to.deep.equal(['a']);
    domains.replace([], at(9), 0);
    expect(domains.list()).to.deep.equal([]);
  });
});
