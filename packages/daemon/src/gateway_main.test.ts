import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {Explanation} from '@parsleywood/schema/explanation';
import {findFreePorts} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import {request} from 'undici';

const MAIN = fileURLToPath(new URL('./gateway_main.js', import.meta.url));
const LOCAL = '127.0.0.1';
const RETRY_INTERVAL_MS = 100;
const TIMEOUT_MS = 10_000;

describe('parsleywood-gateway', () => {
  let folder = '';
  let upstream: Server;
  let callers = '';
  let probes: string[] = [];
  let gateway: ChildProcess;

  const file = (name: string): string => join(folder, name);

  function publish(version: number, changes: object = {}): void {
    const {port} = upstream.address() as AddressInfo;
    const route = {
      name: 'orders',
      host: 'site.example',
      prefix: '/orders/',
      kind: 'unsafe',
      targets: [{service: 'app', weight: 1}],
      latencyObjectiveMs: 200,
    };
    const site = {
      version,
      routes: [route],
      services: [{name: 'app'}],
      accounts: [{name: 'mill', keys: ['key-mill']}],
      upstreams: [
        {
          id: 'app-1',
          service: 'app',
          address: `${LOCAL}:${port}`,
          failureDomain: 'a',
          slots: 4,
        },
      ],
      ...changes,
    };
    writeFileSync(file('site.json'), JSON.stringify(site));
  }

  async function call(key = 'key-mill'): Promise<number> {
    const answer = await request(`http://${callers}/orders/1`, {
      method: 'POST',
      headers: {
        host: 'site.example',
        'request-id': 'r1',
        'account-key': key,
      },
      body: 'two crates',
    });
    await answer.body.dump();
    return answer.statusCode;
  }

  async function waitForStatus(wanted: number): Promise<void> {
    const untilMs = performance.now() + TIMEOUT_MS;
    for (;;) {
      const status = await call().catch(() => 0);
      if (status === wanted) return;
      if (performance.now() > untilMs) expect(status).to.equal(wanted);
      await pause(RETRY_INTERVAL_MS);
    }
  }

  before(async () => {
    folder = mkdtempSync(join(tmpdir(), 'parsleywood-'));
    upstream = createServer((received, response) => {
      response.setHeader('request-id', received.headers['request-id'] ?? '');
      response.end(received.headers['client-account']);
    });
    upstream.listen(0, LOCAL);
    await once(upstream, 'listening');
    const ports = await findFreePorts(5);
    const [first, second, third, fourth, fifth] = ports.map(
      port => `${LOCAL}:${port}`,
    );
    callers = first ?? '';
    probes = [second ?? '', fifth ?? ''];
    const settings = {
      host: 'h1',
      failureDomain: 'a',
      callersAddress: first,
      readinessAddress: second,
      directoryAddress: third,
      peersAddress: fourth,
      metricsAddress: fifth,
      seedPeers: [],
      logLevel: 'error',
      bounds: {
        stopGraceMs: 4_000,
        retryRatio: 0.2,
        retrySlack: 10,
        retryWindowMs: 10_000,
        directoryTtlMs: 1_000,
      },
    };
    writeFileSync(file('host.json'), JSON.stringify(settings));
    publish(1);
    gateway = start('host.json');
    await waitForStatus(200);
  });

  after(async () => {
    gateway.kill('SIGTERM');
    const [code] = (await once(gateway, 'exit')) as [number | null];
    upstream.close();
    rmSync(folder, {recursive: true});
    expect(code).to.equal(0);
  });

  function start(settings: string): ChildProcess {
    const flags = ['--settings', file(settings), '--site', file('site.json')];
    return spawn(process.execPath, [MAIN, ...flags], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
  }

  it('serves the routes of the file to accounts with a valid key', async () => {
    expect(await call('wrong')).to.equal(401);
    expect(await call()).to.equal(200);
  });

  it('explains a request at both probe addresses, and refuses a wrong query', async () => {
    const query = 'name=site.example&path=/orders/1&key=key-mill';
    for (const address of probes) {
      const url = `http://${address}/v1/explain?${query}`;
      const answer = await request(url);
      const explanation = (await answer.body.json()) as Explanation;
      expect(explanation.choice?.upstream).to.equal('app-1');
      const wrong = await request(`${url}&promptTokens=many`);
      expect(await wrong.body.text()).to.match(/promptTokens is \\"many/);
      expect(wrong.statusCode).to.equal(400);
    }
  });

  it('applies a changed file, and keeps the last valid one', async () => {
    publish(2, {accounts: [{name: 'shop', keys: ['key-shop']}]});
    await waitForStatus(401);
    expect(await call('key-shop')).to.equal(200);
    writeFileSync(file('site.json'), '{"version": 3');
    await pause(1_500);
    expect(await call('key-shop')).to.equal(200);
    publish(4, {upstreams: []});
    await waitForStatus(503);
    publish(5);
    await waitForStatus(200);
  });

  it('reports invalid settings in one line with field, value and allowed values', async () => {
    writeFileSync(file('wrong.json'), '{"host": 5}');
    const wrong = start('wrong.json');
    let text = '';
    wrong.stderr?.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    const [code] = (await once(wrong, 'close')) as [number];
    expect(code).to.equal(2);
    expect(text).to.match(
      /^parsleywood: .*wrong\.json: \/\w+ is .*allowed is .*\n$/,
    );
  });
});
