import {expect} from 'chai';
import {UnreadableRestLog} from './unreadable_rest_log.js';

describe('UnreadableRestLog', () => {
  it('logs once for each listed upstream, and not the whole of a long value', () => {
    const lines: unknown[] = [];
    const rests = new UnreadableRestLog({
      warn: (event, fields) => lines.push([event, fields]),
    });
    rests.record('a', '-1');
    rests.record('a', 'soon');
    rests.record('b', 'x'.repeat(1_000));
    rests.retain(new Set(['b']));
    rests.record('a', 'soon');
    rests.record('b', 'soon');
    const event = 'upstream_rest_ignored';
    expect(lines).to.deep.equal([
      [event, {upstream: 'a', retryAfter: '-1'}],
      [event, {upstream: 'b', retryAfter: 'x'.repeat(64)}],
      [event, {upstream: 'a', retryAfter: 'soon'}],
    ]);
  });
});
