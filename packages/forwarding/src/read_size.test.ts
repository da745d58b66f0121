import {expect} from 'chai';
import {ReadSize} from './read_size.js';

describe('ReadSize', () => {
  it('grows amid large pieces', () => {
    const size = new ReadSize();
    for (let at = 0; at < 10; at++) size.recordPieces(size.bytes, 1);
    expect(size.bytes).to.equal(4_096);
  });

  it('is small again after the first small pieces', () => {
    const size = new ReadSize();
    for (let at = 0; at < 10; at++) size.recordPieces(size.bytes, 1);
    size.recordPieces(size.bytes, 9);
    expect(size.bytes).to.equal(512);
  });

  it('is least amid short lines, until others come', () => {
    const size = new ReadSize();
    size.recordLines(512, 128);
    expect(size.bytes).to.equal(64);
    size.recordLines(64, 2);
    expect(size.bytes).to.equal(512);
  });
});
