import {AttemptFault, FinishReason, type Usage} from '@parsleywood/requests';
import {expect} from 'chai';
import type {Dispatcher} from 'undici';
import type {AttemptListener} from './attempt_listener.js';
import {AttemptReader} from './attempt_reader.js';

const USAGE = {promptTokens: 1, completionTokens: 1, cachedTokens: 0};
const CONTROLLER = {
  abort: () => undefined,
} as unknown as Dispatcher.DispatchController;

/** Writes down what it hears. */
class Record implements AttemptListener {
  readonly heard: string[] = [];

  onAlive(attempt: string): void {
    this.heard.push(`alive ${attempt}`);
  }

  onText(attempt: string, position: number, text: string): void {
    this.heard.push(`text ${attempt} ${position} ${text}`);
  }

  onEnd(
    attempt: string,
    position: number,
    finish: FinishReason,
    usage: Usage,
  ): void {
    const {completionTokens} = usage;
    this.heard.push(`end ${attempt} ${position} ${finish} ${completionTokens}`);
  }

  onFault(attempt: string, fault: AttemptFault, detail: string): void {
    this.heard.push(`fault ${attempt} ${fault} ${detail}`);
  }
}

describe('AttemptReader', () => {
  const text = {attempt: 'a', position: 0, text: 'é'};
  const end = {attempt: 'a', position: 1, finish: 'stop', usage: USAGE};

  it('reads text and end, cut anywhere', () => {
    const bytes = Buffer.from(format(text) + ': working\n\n' + format(end));
    for (let cut = 1; cut < bytes.length; cut++) {
      const parts = [bytes.subarray(0, cut), bytes.subarray(cut)];
      expect(read(200, parts)).to.eql([
        'alive a',
        'text a 0 é',
        'alive a',
        'end a 1 stop 1',
      ]);
    }
  });

  const faults: [string, number, string, string][] = [
    [
      'a silent close',
      200,
      format(text),
      'broken answer ended without its last event',
    ],
    [
      'an event that is no JSON',
      200,
      'data: {\n\n',
      'broken event is not JSON',
    ],
    [
      'an error event',
      200,
      format({attempt: 'a', error: {kind: 'time_limit'}}),
      'broken time_limit',
    ],
    ['a refusal', 503, '{"error":{"kind":"full"}}', 'refused 503 full'],
    [
      'a leaving engine',
      503,
      '{"error":{"kind":"leaving"}}',
      'leaving 503 leaving',
    ],
    ['a request at fault', 400, '{"error":{"kind":"bad"}}', 'invalid 400 bad'],
    ['an answer without a body', 500, '', 'refused 500 '],
  ];
  for (const [title, status, content, expected] of faults) {
    it(`takes ${title} as a fault, once`, () => {
      const heard = read(status, [Buffer.from(content)]);
      const found = heard.filter(line => line.startsWith('fault'));
      expect(found).to.eql([`fault a ${expected}`]);
    });
  }

  it('tells a connection never made from a broken one', () => {
    for (const [code, fault] of [
      ['ECONNREFUSED', 'unreachable'],
      ['UND_ERR_CONNECT_TIMEOUT', 'unreachable'],
      ['ECONNRESET', 'broken'],
    ]) {
      const record = new Record();
      const reader = new AttemptReader('a', record, () => undefined);
      reader.onRequestStart(CONTROLLER);
      const error = Object.assign(new Error('test'), {code});
      reader.onResponseError(CONTROLLER, error);
      expect(record.heard).to.eql([`fault a ${fault} ${code}`]);
    }
  });
});

function read(status: number, parts: readonly Buffer[]): string[] {
  const record = new Record();
  const reader = new AttemptReader('a', record, () => undefined);
  reader.onRequestStart(CONTROLLER);
  reader.onResponseStart(CONTROLLER, status);
  for (const part of parts) reader.onResponseData(CONTROLLER, part);
  reader.onResponseEnd();
  return record.heard;
}

function format(event: object): string {
  return `data: ${JSON.stringify(event)}\n\n`;
}
