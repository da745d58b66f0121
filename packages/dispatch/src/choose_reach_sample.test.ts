import {expect} from 'chai';
import fc from 'fast-check';
import {UpstreamStage, type UpstreamEntry} from '@parsleywood/forwarding';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {chooseReachSample} from './choose_reach_sample.js';

const GROUPS = 4;

function buildUpstream(group: number, at: number): UpstreamEntry {
  return {
    id: `u${at}`,
    service: 's',
    address: `a${at}`,
    failureDomain: `d${group}`,
    stage: UpstreamStage.READY,
    slots: 1,
  };
}

describe('chooseReachSample', () => {
  it('takes other failure domains first, and of each one in good health', () => {
    const upstream = fc.tuple(fc.nat(GROUPS - 1), fc.boolean());
    const property = fc.property(
      fc.array(upstream),
      fc.nat(8),
      fc.integer(),
      (all, count, seed) => {
        const generator = xoroshiro128plus(seed);
        const upstreams = all.map(([group], at) => buildUpstream(group, at));
        const avoided = new Set(
          upstreams.filter((_one, at) => all[at]?.[1]).map(({id}) => id),
        );
        const sample = chooseReachSample(
          upstreams,
          ({id}) => avoided.has(id),
          count,
          () => uniformFloat64(generator),
        );
        const domains = new Set(upstreams.map(one => one.failureDomain));
        const spread = sample.slice(0, domains.size);
        expect(new Set(sample)).to.have.property(
          'size',
          Math.min(count, upstreams.length),
        );
        expect(new Set(spread.map(one => one.failureDomain))).to.have.property(
          'size',
          spread.length,
        );
        for (const {id, failureDomain} of spread) {
          const sound = upstreams.filter(
            one => one.failureDomain === failureDomain && !avoided.has(one.id),
          );
          expect(avoided.has(id)).to.equal(sound.length === 0);
        }
      },
    );
    fc.assert(property, {seed: 1, numRuns: 200});
  });
});
