import {AttemptFault, FinishReason, type Usage} from '@parsleywood/requests';
import {expect} from 'chai';
import type {Dispatcher} from 'undici';
import type {AttemptListener} from './attempt_listener.js';
import {AttemptReader} from './attempt_reader.js';

const USAGE = {promptTokens: 1, completionTokens: 1, cachedTokens: 0};
const CONTROLLER = {
  abort: () => undefined,
} as unknown as Dispatcher.DispatchController;

/** Records each call as a line of text. */
class RecordingListener implements AttemptListener {
  readonly calls: string[] = [];

  onAlive(attempt: string): void {
    this.calls.push(`alive ${attempt}`);
  }

  onText(attempt: string, position: number, text: string): void {
    this.calls.push(`text ${attempt} ${position} ${text}`);
  }

  onEnd(
    attempt: string,
    position: number,
    finish: FinishReason,
    usage: Usage,
  ): void {
    const {completionTokens} = usage;
    this.calls.push(`end ${attempt} ${position} ${finish} ${completionTokens}`);
  }

  onFault(attempt: string, fault: AttemptFault, detail: string): void {
    this.calls.push(`fault ${attempt} ${fault} ${detail}`);
  }
}

describe('AttemptReader', () => {
  const text = {attempt: 'a', position: 0, text: 'é'};
  const end = {attempt: 'a', position: 1, finish: 'stop', usage: USAGE};

  it('parses text and end events from chunks split at any byte', () => {
    const bytes = Buffer.from(
      formatEvent(text) + ': working\n\n' + formatEvent(end),
    );
    for (let cut = 1; cut < bytes.length; cut++) {
      const parts = [bytes.subarray(0, cut), bytes.subarray(cut)];
      expect(readResponse(200, parts)).to.eql([
        'alive a',
        'text a 0 é',
        'alive a',
        'end a 1 stop 1',
      ]);
    }
  });

  const faults: [string, number, string, string][] = [
    [
      'a response that closes before its last event',
      200,
      formatEvent(text),
      'broken the response ended before its last event',
    ],
    [
      'a response that closes inside an event',
      200,
      formatEvent(text) + formatEvent(end).slice(0, -1),
      'broken the response ended before its last event',
    ],
    [
      'an event that is not JSON',
      200,
      'data: {\n\n',
      'broken the event data is not valid JSON',
    ],
    [
      'an error event',
      200,
      formatEvent({attempt: 'a', error: {kind: 'time_limit'}}),
      'broken time_limit',
    ],
    [
      'a refused attempt',
      503,
      '{"error":{"kind":"full","attempt":"a"}}',
      'refused 503 full',
    ],
    [
      'an engine that is shutting down',
      503,
      '{"error":{"kind":"leaving","attempt":"a"}}',
      'leaving 503 leaving',
    ],
    ['an invalid request', 400, '{"error":{"kind":"bad"}}', 'invalid 400 bad'],
    [
      'an invalid request of another attempt',
      400,
      '{"error":{"kind":"bad","attempt":"b"}}',
      'broken 400 bad',
    ],
    [
      'a refusal of another attempt',
      503,
      '{"error":{"kind":"full","attempt":"b"}}',
      'broken 503 full',
    ],
    [
      'a refusal that names no attempt',
      503,
      '{"error":{"kind":"full"}}',
      'broken 503 full',
    ],
    [
      'an engine of another attempt that is shutting down',
      503,
      '{"error":{"kind":"leaving","attempt":"b"}}',
      'broken 503 leaving',
    ],
    ['an error response without a body', 500, '', 'broken 500 '],
  ];
  for (const [title, status, content, expected] of faults) {
    it(`reports exactly one fault for ${title}`, () => {
      const calls = readResponse(status, [Buffer.from(content)]);
      const faultCalls = calls.filter(line => line.startsWith('fault'));
      expect(faultCalls).to.eql([`fault a ${expected}`]);
    });
  }

  it('distinguishes a failed connect from a broken connection', () => {
    for (const [code, fault] of [
      ['ECONNREFUSED', 'unreachable'],
      ['UND_ERR_CONNECT_TIMEOUT', 'unreachable'],
      ['ECONNRESET', 'broken'],
    ]) {
      const listener = new RecordingListener();
      const reader = new AttemptReader('a', listener, () => undefined);
      reader.onRequestStart(CONTROLLER);
      const error = Object.assign(new Error('test'), {code});
      reader.onResponseError(CONTROLLER, error);
      expect(listener.calls).to.eql([`fault a ${fault} ${code}`]);
    }
  });
});

function readResponse(status: number, parts: readonly Buffer[]): string[] {
  const listener = new RecordingListener();
  const reader = new AttemptReader('a', listener, () => undefined);
  reader.onRequestStart(CONTROLLER);
  reader.onResponseStart(CONTROLLER, status);
  for (const part of parts) reader.onResponseData(CONTROLLER, part);
  reader.onResponseEnd();
  return listener.calls;
}

function formatEvent(event: object): string {
  return `data: ${JSON.stringify(event)}\n\n`;
}
