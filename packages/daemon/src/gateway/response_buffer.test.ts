import {expect} from 'chai';
import {ResponseBuffer} from './response_buffer.js';

const PIECES = 1_000_000;
const MAX_BYTES = 32 * 1_048_576;

function readUsedBytes(): number {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

describe('ResponseBuffer', () => {
  // Guards against hosts that end as answers in chunks of a byte fill their heap.
  it('costs no more for a body in chunks of a byte', () => {
    const buffer = new ResponseBuffer();
    const before = readUsedBytes();
    for (let at = 0; at < PIECES; at++) buffer.append(Buffer.from('x'));
    expect(readUsedBytes() - before).to.be.below(MAX_BYTES);
    expect(buffer.join()).to.have.length(PIECES);
  });
});
