import {AttemptFault} from '@parsleywood/requests';
import {RawServer} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import type {AttemptCall} from './attempt_call.js';
import {EngineClient} from './engine_client.js';
import {UpstreamPools} from './upstream_pools.js';

const ATTEMPT = 'attempt-1';
const EVENT = JSON.stringify({attempt: ATTEMPT, position: 0, finish: 'stop'});
const STREAM = `Content-Type: text/event-stream\r\n\r\ndata: ${EVENT}\n\n`;
const REFUSAL = JSON.stringify({error: {kind: 'busy', attempt: ATTEMPT}});

/** Responses, with what an attempt ends with: its last event or a fault. */
const RESPONSES = new Map<string, AttemptFault | undefined>([
  [`HTTP/1.1 200\r\n${STREAM}`, undefined],
  [`HTTP/1.0 200 OK\r\n${STREAM}`, undefined],
  [`HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n${STREAM}`, undefined],
  [`HTTP/2.0 200 OK\r\n${STREAM}`, AttemptFault.BROKEN],
  [`HTTP/1.1 000 OK\r\n${STREAM}`, AttemptFault.BROKEN],
  [`HTTP/1.1 200 OK\r\nX Y: 1\r\n${STREAM}`, AttemptFault.BROKEN],
  [
    `HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n${STREAM}`,
    AttemptFault.BROKEN,
  ],
  [`HTTP/1.1 503 Busy\r\n\r\n${REFUSAL}`, AttemptFault.REFUSED],
  [`HTTP/1.1 600 Busy\r\n\r\n${REFUSAL}`, AttemptFault.BROKEN],
  [
    `HTTP/1.1 503 Busy\r\nContent-Length: 999\r\n\r\n${REFUSAL}`,
    AttemptFault.BROKEN,
  ],
]);

describe('EngineClient', () => {
  let server: RawServer;
  let pools: UpstreamPools;

  beforeEach(() => {
    pools = new UpstreamPools();
  });

  afterEach(async () => {
    await pools.close();
    server.stop();
  });

  /** Runs an attempt; returns its fault, or undefined after its last event. */
  async function run(
    response: string,
    isReset = false,
  ): Promise<AttemptFault | undefined> {
    server = RawServer.answering({bytes: response, isReset});
    const {host: address} = new URL(await server.start());
    const call: AttemptCall = {
      ...{attempt: ATTEMPT, owner: 'h/1', address, path: '/'},
      ...{priority: 1, resumeFrom: 0, limitMs: 1_000, body: Buffer.from('{}')},
      ...{reservation: undefined, remoteTokens: undefined},
    };
    return new Promise(resolve => {
      new EngineClient(pools).start(call, {
        onAlive: () => undefined,
        onText: () => undefined,
        onEnd: () => {
          resolve(undefined);
        },
        onFault: (_attempt, fault) => {
          resolve(fault);
        },
      });
    });
  }

  for (const [response, fault] of RESPONSES) {
    const [head = ''] = response.split('\r\n\r\n');
    it(`ends with ${fault ?? 'the last event'} after ${JSON.stringify(head)}`, async () => {
      expect(await run(response)).to.equal(fault);
    });
  }

  it('takes no refusal that is reset for a proof', async () => {
    const response = `HTTP/1.1 503 Busy\r\n\r\n${REFUSAL}`;
    expect(await run(response, true)).to.equal(AttemptFault.BROKEN);
  });
});
