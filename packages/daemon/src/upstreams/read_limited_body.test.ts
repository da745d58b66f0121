import {expect} from 'chai';
import type {Dispatcher} from 'undici';
import {readLimitedBody} from './read_limited_body.js';

const PIECES = 1_000_000;
const MAX_BYTES = 32 * 1_048_576;

function* describePieces(): Generator<Buffer> {
  for (let count = 0; count < PIECES; count++) yield Buffer.from('x');
}

function readUsedBytes(): number {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

describe('readLimitedBody', () => {
  // Guards against hosts that end as responses in chunks of a byte fill their heap.
  it('costs no more for a body in chunks of a byte', async () => {
    const body = describePieces() as unknown as Dispatcher.ResponseData['body'];
    const before = readUsedBytes();
    const read = await readLimitedBody(body, PIECES);
    expect(readUsedBytes() - before).to.be.below(MAX_BYTES);
    expect(read).to.have.length(PIECES);
  });
});
