import {expect} from 'chai';
import {readPartIds} from './read_part_ids.js';

describe('readPartIds', () => {
  // Ids were cut, so that sound parts were blamed for what others did.
  it('tells long ids apart by their last character', () => {
    const start = 'a'.repeat(64);
    const ids = readPartIds(`${start}:1,${start}1:2,${start}2:3,B:4`);
    expect(new Set(ids).size).to.equal(4);
    expect([ids[0], ids[3]]).to.deep.equal([start, 'b']);
    expect(Math.max(...ids.map(id => id.length))).to.equal(64);
  });
});
