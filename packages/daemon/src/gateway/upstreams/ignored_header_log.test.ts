import {expect} from 'chai';
import {IgnoredHeaderLog} from './ignored_header_log.js';

describe('IgnoredHeaderLog', () => {
  it('logs once for each listed upstream, and not the whole of a long value', () => {
    const lines: unknown[] = [];
    const event = 'upstream_rest_ignored';
    const rests = new IgnoredHeaderLog(
      {warn: (name, fields) => lines.push([name, fields])},
      event,
      'retryAfter',
    );
    rests.record('a', '-1');
    rests.record('a', 'soon');
    rests.record('b', 'x'.repeat(1_000));
    rests.retain(new Set(['b']));
    rests.record('a', 'soon');
    rests.record('b', 'soon');
    expect(lines).to.deep.equal([
      [event, {upstream: 'a', retryAfter: '-1'}],
      [event, {upstream: 'b', retryAfter: 'x'.repeat(64)}],
      [event, {upstream: 'a', retryAfter: 'soon'}],
    ]);
  });
});
