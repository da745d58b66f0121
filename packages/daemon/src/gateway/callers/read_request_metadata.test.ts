import {expect} from 'chai';
import {DEFAULT_HEADER_NAMES} from '../default_header_names.js';
import {readRequestMetadata} from './read_request_metadata.js';

const MAX_TOKENS = 4_294_967_295;

function read(headers: Record<string, string>) {
  const request = {method: 'POST', headers};
  return readRequestMetadata(request, '/', DEFAULT_HEADER_NAMES);
}

describe('readRequestMetadata', () => {
  // "0x10" counted as 16, and a count of 400 digits as none.
  it('reads decimal numbers, and takes other texts for none', () => {
    const texts = ['7', '007', '0.5', '-1', '+1', '1e3', '0x10', '', 'x'];
    const limits = texts.map(
      text => read({'request-timeout-ms': text}).timeLimitMs,
    );
    const none = undefined;
    expect(limits.slice(0, 3)).to.deep.equal([7, 7, 0.5]);
    expect(limits.slice(3)).to.deep.equal(texts.slice(3).map(() => none));
    const tokens = ['5', '0.5', '1e3', '4294967296', '9'.repeat(400)];
    expect(
      tokens.map(text => read({'token-counts': text}).promptTokens),
    ).to.deep.equal([5, 1, 0, MAX_TOKENS, MAX_TOKENS]);
  });

  it('takes the id of the last event as it came', () => {
    for (const id of ['0012', '1e3', '-1', ' a, b ', '9007199254740993']) {
      expect(read({'last-event-id': id}).lastEventId).to.equal(id);
    }
    expect(read({}).lastEventId).to.equal(undefined);
  });
});
