import {expect} from 'chai';
import fc from 'fast-check';
import {toFencing} from './to_fencing_token.js';

describe('toFencing', () => {
  const part = fc.integer({min: 0, max: 1_000});
  const revisions = fc.record({base: part, overlay: part, upstreams: part});

  it('grows with each part of the revision', () => {
    const property = fc.property(revisions, revision => {
      const token = toFencing(revision)!;
      for (const key of ['base', 'overlay', 'upstreams'] as const) {
        const nextRevision = {...revision, [key]: revision[key] + 1};
        expect(toFencing(nextRevision)).to.be.above(token);
      }
    });
    fc.assert(property, {seed: 4, numRuns: 500});
  });

  it('gives revisions with equal sums different tokens', () => {
    const property = fc.property(part, part, part, (base, overlay, shift) => {
      fc.pre(shift > 0);
      const withHigherBase = toFencing({
        base: base + shift,
        overlay,
        upstreams: 1,
      });
      const withHigherOverlay = toFencing({
        base,
        overlay: overlay + shift,
        upstreams: 1,
      });
      const withHigherUpstreams = toFencing({
        base,
        overlay,
        upstreams: 1 + shift,
      });
      expect(
        new Set([withHigherBase, withHigherOverlay, withHigherUpstreams]),
      ).to.have.lengthOf(3);
    });
    fc.assert(property, {seed: 5, numRuns: 500});
  });

  it('returns undefined if the sum of the parts exceeds 33 bits', () => {
    const revision = {base: Date.UTC(2030, 0), overlay: 0, upstreams: 0};
    expect(toFencing(revision)).to.equal(undefined);
  });
});
