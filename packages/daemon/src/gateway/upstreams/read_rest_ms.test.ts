import {expect} from 'chai';
import {readRestMs} from './read_rest_ms.js';

describe('readRestMs', () => {
  it('reads seconds of a refusal with 503, and nothing else', () => {
    const fields = ['3', ' 0.5 ', '0', '-1', '1e3', '', 'Fri, 04 Dec 2026'];
    const read = fields.map(field => readRestMs(503, field));
    const none = undefined;
    expect(read).to.deep.equal([3_000, 500, 0, none, none, none, none]);
    expect(readRestMs(503, undefined)).to.equal(0);
    expect(readRestMs(503, ['3', '4'])).to.equal(undefined);
    expect(readRestMs(429, 'soon')).to.equal(0);
    expect(readRestMs(429, '3')).to.equal(0);
  });
});
