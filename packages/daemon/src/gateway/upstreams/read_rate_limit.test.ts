import {expect} from 'chai';
import {readRateLimit} from './read_rate_limit.js';

describe('readRateLimit', () => {
  // A limit of 0 was taken for none, and "1e1" for 10.
  it('reads decimal numbers from 0 on, and nothing else', () => {
    const read = ['0', '0.5', '007', ' 12 '].map(readRateLimit);
    expect(read).to.deep.equal([0, 0.5, 7, 12]);
    const others = ['', '-1', '+1', '1e1', '0x10', '1,2', 'Infinity'];
    const unread = [...others, '9'.repeat(400), ['1', '2'], undefined];
    expect(unread.map(readRateLimit)).to.deep.equal(
      unread.map(() => undefined),
    );
  });
});
