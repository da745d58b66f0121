import {BufferBudget} from '@parsleywood/forwarding';
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
    const buffer = new ResponseBuffer(new BufferBudget());
    const before = readUsedBytes();
    for (let at = 0; at < PIECES; at++) buffer.append(Buffer.from('x'));
    expect(readUsedBytes() - before).to.be.below(MAX_BYTES);
    expect(buffer.join()).to.have.length(PIECES);
  });

  // Guards against hosts that end as several answers without end fill their memory.
  it('keeps 16 MB of all responses together, and short ones in any case', () => {
    const budget = new BufferBudget();
    const part = Buffer.alloc(1_048_576);
    const long = [1, 2, 3].map(() => new ResponseBuffer(budget));
    for (let count = 0; count < 6; count++) {
      for (const buffer of long) buffer.append(part);
    }
    const faults = long.map(({fault}) => fault !== undefined);
    expect(faults).to.deep.equal([false, true, true]);
    const short = new ResponseBuffer(budget);
    short.append(Buffer.alloc(60_000));
    expect(short.fault).to.equal(undefined);
    for (const buffer of long) buffer.discard();
    const last = new ResponseBuffer(budget);
    for (let count = 0; count < 15; count++) last.append(part);
    expect(last.fault).to.equal(undefined);
  });
});
