import {expect} from 'chai';
import {UpstreamRests} from './upstream_rests.js';

describe('UpstreamRests', () => {
  it('ends a rest when its time is over, and not sooner by a later answer', () => {
    const rests = new UpstreamRests(() => 0);
    expect(rests.record('u', 3_000, 100)).to.equal(true);
    expect(rests.record('u', 1_000, 200)).to.equal(false);
    expect(rests.isResting('u', 3_099)).to.equal(true);
    expect(rests.isResting('u', 3_100)).to.equal(false);
    expect(rests.isResting('other', 200)).to.equal(false);
  });

  it('lets requests come again when the first upstream is back, and not all at once', () => {
    const draws = [0, 0.5];
    const rests = new UpstreamRests(() => draws.shift() ?? 0);
    rests.record('late', 3_000, 0);
    rests.record('early', 1_000, 0);
    const plan = (): number => rests.planReturnMs(['late', 'early'], 400);
    expect([plan(), plan()]).to.deep.equal([600, 850]);
    expect(rests.planReturnMs(['late', 'idle'], 400)).to.equal(0);
    expect(rests.planReturnMs([], 400)).to.equal(0);
  });

  it('forgets an upstream that is no longer listed, and bounds huge rests', () => {
    const rests = new UpstreamRests(() => 0);
    rests.record('u', Number.MAX_VALUE, 0);
    expect(rests.isResting('u', 3_600_000)).to.equal(false);
    expect(rests.isResting('u', 3_599_999)).to.equal(true);
    rests.retain(new Set());
    expect(rests.isResting('u', 1)).to.equal(false);
  });
});
