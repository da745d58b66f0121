import {expect} from 'chai';
import {countLines} from './count_lines.js';

describe('countLines', () => {
  // Lines that were not counted let one answer hold up all others of a host.
  it('counts each line once, however it ends', () => {
    expect(countLines(Buffer.from('a\nb\r\nc\rd\r\re'))).to.equal(5);
  });
});
