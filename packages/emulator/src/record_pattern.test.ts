import {join} from 'node:path';
import {expect} from 'chai';
import {readPattern} from './read_pattern.js';
import {recordPattern} from './record_pattern.js';

const TEMPLATE = readPattern(
  join(import.meta.dirname, '../patterns/swinging-mix.json'),
);

function line(fields: object): string {
  const over = {event: 'request_over', outcome: 'answered', events: 10};
  return `  1.5 host-1 ${JSON.stringify({...over, ...fields})}`;
}

describe('recordPattern', () => {
  it('takes arrivals, lengths and kinds from log lines', () => {
    const pattern = recordPattern(TEMPLATE, [
      line({
        time: '2026-01-01T00:00:02.000Z',
        route: 'b',
        promptTokens: 170_000,
        tookMs: 500,
        outcome: 'overloaded',
        events: 0,
      }),
      'not a line of the log',
      '{"event":"request_over","time":"2026',
      line({time: '2026-01-01T00:00:03.000Z', route: 'c', promptTokens: 0}),
      line({
        time: '2026-01-01T00:00:01.300Z',
        route: 'a',
        promptTokens: 4_000,
        tookMs: 300,
      }),
    ]);
    const usual = TEMPLATE.kinds[2]?.answerTokens;
    expect(pattern.arrivals).to.deep.equal([
      [0, 0, 4_000, 340],
      [500, 2, 170_000, usual],
    ]);
    expect(pattern.durationMs).to.equal(501);
    expect(pattern.kinds.map(({perSecond}) => perSecond)).to.deep.equal([
      0, 0, 0,
    ]);
  });
});
