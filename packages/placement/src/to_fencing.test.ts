import {expect} from 'chai';
import fc from 'fast-check';
import {toFencing} from './to_fencing.js';

describe('toFencing', () => {
  const part = fc.integer({min: 0, max: 1_000});
  const revisions = fc.record({base: part, overlay: part, upstreams: part});

  it('grows with each part', () => {
    const property = fc.property(revisions, revision => {
      const before = toFencing(revision)!;
      for (const key of ['base', 'overlay', 'upstreams'] as const) {
        const next = {...revision, [key]: revision[key] + 1};
        expect(toFencing(next)).to.be.above(before);
      }
    });
    fc.assert(property, {seed: 4, numRuns: 500});
  });

  it('tells revisions of equal sum apart', () => {
    const property = fc.property(part, part, part, (base, overlay, moved) => {
      fc.pre(moved > 0);
      const one = toFencing({base: base + moved, overlay, upstreams: 1});
      const other = toFencing({base, overlay: overlay + moved, upstreams: 1});
      const third = toFencing({base, overlay, upstreams: 1 + moved});
      expect(new Set([one, other, third])).to.have.lengthOf(3);
    });
    fc.assert(property, {seed: 5, numRuns: 500});
  });

  it('refuses revisions that do not fit', () => {
    const revision = {base: Date.UTC(2030, 0), overlay: 0, upstreams: 0};
    expect(toFencing(revision)).to.equal(undefined);
  });
});
