import {expect} from 'chai';
import {readTimelineQuery} from './read_timeline_query.js';

describe('readTimelineQuery', () => {
  // A limit past 32 bits was sent to no other host, and its events were missing.
  it('refuses numbers that hosts cannot pass on, and other texts than digits', () => {
    for (const limit of ['4294967296', '1e3', '0x10', '+1', '-1', '1.5', '']) {
      expect(() => readTimelineQuery({limit}), limit).to.throw(limit);
    }
    const afterMs = '9007199254740993';
    expect(() => readTimelineQuery({afterMs})).to.throw(afterMs);
    expect(readTimelineQuery({limit: '4294967295', afterMs: '007'})).to.include(
      {maxEvents: 4_294_967_295, afterMs: 7},
    );
  });
});
