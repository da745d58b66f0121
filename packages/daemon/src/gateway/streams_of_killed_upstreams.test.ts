import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {request} from 'undici';
import {GatewayProcess} from '../testing/gateway_process.js';

const UPSTREAM = fileURLToPath(
  new URL('../testing/stream_upstream.js', import.meta.url),
);
const EVENTS = 40;
/** Time in which about half of the events have come. */
const KILL_AFTER_MS = 200;
const ROUTE = {
  host: 'site.example',
  targets: [{service: 'app', weight: 1}],
  latencyObjectiveMs: 200,
  timeoutMs: 8_000,
};
const SETTINGS = {
  host: 'h1',
  failureDomain: 'a',
  seedPeers: [],
  bounds: {
    stopGraceMs: 4_000,
    retryRatio: 0.2,
    retrySlack: 100,
    retryWindowMs: 10_000,
    directoryTtlMs: 1_000,
  },
};

async function startUpstream(): Promise<{process: ChildProcess; port: string}> {
  const process = spawn(globalThis.process.execPath, [UPSTREAM, `${EVENTS}`], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [port] = (await once(process.stdout, 'data')) as [Buffer];
  return {process, port: String(port).trim()};
}

/** Returns the numbers of the pieces that a caller got of a stream that ended whole. */
async function readPieces(callers: string): Promise<number[]> {
  const {statusCode, body} = await request(`http://${callers}/stream/long`, {
    method: 'POST',
    headers: {host: 'site.example', 'account-key': 'key-mill'},
    body: 'prompt',
  });
  expect(statusCode).to.equal(200);
  const text = await body.text();
  return [...text.matchAll(/^data: piece (\d+)$/gm)].map(([, piece]) =>
    Number(piece),
  );
}

describe('Streams of upstreams that are killed', () => {
  let upstreams: {process: ChildProcess; port: string}[] = [];
  let gateway: GatewayProcess;

  before(async () => {
    upstreams = await Promise.all([startUpstream(), startUpstream()]);
    gateway = new GatewayProcess(SETTINGS, {
      routes: [
        {...ROUTE, name: 'orders', prefix: '/orders/', kind: 'unsafe'},
        {
          ...ROUTE,
          name: 'stream',
          prefix: '/stream/',
          kind: 'stream',
          resumable: true,
          maxAttempts: 2,
        },
      ],
      upstreams: upstreams.map(({port}, at) => ({
        id: `app-${at}`,
        service: 'app',
        address: `127.0.0.1:${port}`,
        failureDomain: 'a',
        slots: 200,
      })),
    });
    await gateway.start();
  });

  after(async () => {
    for (const {process} of upstreams) process.kill('SIGKILL');
    await gateway.stop();
  });

  // Ids beyond 2^53 were one number, so that most events were dropped in silence.
  it('go on elsewhere, whole, where ids exceed what a double holds', async () => {
    const killed: ChildProcess[] = [];
    for (const {process} of upstreams) {
      process.stdout?.once('data', () => {
        if (killed.length > 0) return;
        killed.push(process);
        setTimeout(() => process.kill('SIGKILL'), KILL_AFTER_MS);
      });
    }
    const pieces = await readPieces(gateway.callers);
    const all = Array.from({length: EVENTS}, (_, at) => at + 1);
    expect(pieces).to.deep.equal(all);
    expect(killed[0]?.signalCode).to.equal('SIGKILL');
  });
});
