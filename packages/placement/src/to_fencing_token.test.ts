import {expect} from 'chai';
import fc from 'fast-check';
import {toFencingToken} from './to_fencing_token.js';

describe('toFencingToken', () => {
  const part = fc.integer({min: 0, max: 1_000});
  const revisions = fc.record({base: part, overlay: part, upstreams: part});

  it('grows with each part of the revision', () => {
    const property = fc.property(revisions, revision => {
      const token = toFencingToken(revision)!;
      for (const key of ['base', 'overlay', 'upstreams'] as const) {
        const nextRevision = {...revision, [key]: revision[key] + 1};
        expect(toFencingToken(nextRevision)).to.be.above(token);
      }
    });
    fc.assert(property, {seed: 4, numRuns: 500});
  });

  it('gives revisions with equal sums different tokens', () => {
    const property = fc.property(part, part, part, (base, overlay, shift) => {
      fc.pre(shift > 0);
      const withHigherBase = toFencingToken({
        base: base + shift,
        overlay,
        upstreams: 1,
      });
      const withHigherOverlay = toFencingToken({
        base,
        overlay: overlay + shift,
        upstreams: 1,
      });
      const withHigherUpstreams = toFencingToken({
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
    expect(toFencingToken(revision)).to.equal(undefined);
  });
});
