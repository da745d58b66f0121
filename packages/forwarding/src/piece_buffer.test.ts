import {expect} from 'chai';
import fc from 'fast-check';
import {PieceBuffer} from './piece_buffer.js';

const PIECES = 1_000_000;
const MAX_BYTES = 32 * 1_048_576;

function readUsedBytes(): number {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

describe('PieceBuffer', () => {
  it('joins what was appended, whatever the sizes of the pieces', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: 3_000}), {maxLength: 80}),
        sizes => {
          const pieces = sizes.map((size, at) => Buffer.alloc(size, at));
          const buffer = new PieceBuffer();
          for (const piece of pieces) buffer.append(piece);
          const whole = Buffer.concat(pieces);
          expect(buffer.length).to.equal(whole.length);
          expect(buffer.take().equals(whole)).to.equal(true);
          expect(buffer.length).to.equal(0);
          buffer.append(Buffer.from('again'));
          expect(buffer.join().toString()).to.equal('again');
        },
      ),
      {seed: 1, numRuns: 200},
    );
  });

  // Guards against a heap that is full of pieces long before the limit in bytes.
  it('keeps a million pieces of a byte in less than 32 MB', () => {
    const buffer = new PieceBuffer();
    const before = readUsedBytes();
    for (let at = 0; at < PIECES; at++) buffer.append(Buffer.from('x'));
    expect(readUsedBytes() - before).to.be.below(MAX_BYTES);
    expect(buffer.length).to.equal(PIECES);
  });
});
