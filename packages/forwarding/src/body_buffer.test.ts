import {createHash} from 'node:crypto';
import {expect} from 'chai';
import fc from 'fast-check';
import {BodyBuffer} from './body_buffer.js';

const BODIES = 20;
const BODY_BYTES = 4_194_304;

function hash(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}

describe('BodyBuffer', () => {
  it('holds what was appended, in one piece', () => {
    const pieces = fc.array(fc.uint8Array({maxLength: 40_000}), {
      maxLength: 20,
    });
    fc.assert(
      fc.property(pieces, fc.boolean(), (all, isLengthKnown) => {
        const whole = Buffer.concat(all);
        const body = new BodyBuffer(isLengthKnown ? whole.length : 0);
        for (const piece of all) body.append(Buffer.from(piece));
        expect(body.length).to.equal(whole.length);
        expect(hash(body.read())).to.equal(hash(whole));
        body.release();
      }),
      {seed: 1, numRuns: 50},
    );
  });

  // Guards against hosts that keep the bodies of requests that have ended.
  it('frees its memory at once', () => {
    const before = process.memoryUsage.rss();
    const kept: Buffer[] = [];
    for (let count = 0; count < BODIES; count++) {
      const body = new BodyBuffer(0);
      body.append(Buffer.alloc(BODY_BYTES, 'x'));
      kept.push(body.read());
      body.release();
    }
    const grown = process.memoryUsage.rss() - before;
    expect(kept.map(({length}) => length)).to.deep.equal(kept.map(() => 0));
    expect(grown).to.be.below((BODIES / 2) * BODY_BYTES);
  });
});
