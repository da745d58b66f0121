import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {findFreePorts} from '@parsleywood/stand-ins';
import {request} from 'undici';
import {ProcessMeter} from './process_meter.js';

const MAIN = fileURLToPath(new URL('../gateway_main.js', import.meta.url));
const LOCAL = '127.0.0.1';
const RETRY_INTERVAL_MS = 100;
const TIMEOUT_MS = 10_000;
/** Number of sets of ports that are tried. */
const MAX_TRIES = 3;
const OK_STATUS = 200;
const LARGE_ANSWER = Buffer.alloc(2_097_152, 'x');
const EVENT = `data: ${'x'.repeat(8_192)}\n\n`;
const EVENT_INTERVAL_MS = 5;

/** A gateway in a process of its own, with an upstream in the process of the test. */
export class GatewayProcess {
  callers = '';
  directory = '';
  metrics = '';
  private readonly folder = mkdtempSync(join(tmpdir(), 'parsleywood-'));
  private process: ChildProcess | undefined;
  private readonly upstream: Server = createServer((received, response) => {
    received.resume();
    response.setHeader('request-id', received.headers['request-id'] ?? '');
    received.on('end', () => {
      if (received.url === '/stream/endless') sendEvents(response, Infinity);
      else if (received.url === '/stream/short') sendEvents(response, 200);
      else if (received.url === '/orders/large') response.end(LARGE_ANSWER);
      else response.end('done');
    });
  });

  /**
   * @param settings Settings of the host beside its addresses.
   * @param siteChanges Parts of the published site in place of its own.
   */
  constructor(
    private readonly settings: object,
    private readonly siteChanges: object = {},
  ) {}

  get isRunning(): boolean {
    return this.process?.exitCode === null && this.process.signalCode === null;
  }

  /** @throws Error if the gateway does not get ready. */
  async start(): Promise<ProcessMeter> {
    this.upstream.listen(0, LOCAL);
    await once(this.upstream, 'listening');
    this.write('site.json', this.describeSite());
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const gateway = await this.startOnce();
      let status = 0;
      await this.waitUntil(async () => {
        status = await this.call();
        return status === OK_STATUS || !this.isRunning;
      });
      if (status === OK_STATUS) return new ProcessMeter(gateway.pid ?? 0);
      // A port that was free may be taken meanwhile.
      if (this.isRunning) break;
    }
    throw new Error('the gateway is not ready');
  }

  private async startOnce(): Promise<ChildProcess> {
    const ports = await findFreePorts(5);
    const [callers = '', readiness, directory = '', peers, metrics = ''] =
      ports.map(port => `${LOCAL}:${port}`);
    Object.assign(this, {callers, directory, metrics});
    const addresses = {
      callersAddress: callers,
      readinessAddress: readiness,
      directoryAddress: directory,
      peersAddress: peers,
      metricsAddress: metrics,
    };
    this.write('host.json', {...addresses, ...this.settings});
    const files = ['--settings', 'host.json', '--site', 'site.json'];
    this.process = spawn(process.execPath, [MAIN, ...files], {
      cwd: this.folder,
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    return this.process;
  }

  async stop(): Promise<void> {
    this.process?.kill('SIGTERM');
    if (this.isRunning) await once(this.process ?? this.upstream, 'exit');
    this.upstream.closeAllConnections();
    this.upstream.close();
    rmSync(this.folder, {recursive: true});
  }

  /** Sends an ordinary request. @return Its status; 0 without an answer. */
  async call(path = '/orders/1'): Promise<number> {
    try {
      const {statusCode, body} = await request(
        `http://${this.callers}${path}`,
        {
          method: 'POST',
          headers: {host: 'site.example', 'account-key': 'key-mill'},
          body: 'two crates',
        },
      );
      // `dump` would end after 128 kB.
      await body.arrayBuffer();
      return statusCode;
    } catch {
      return 0;
    }
  }

  /** Waits until a condition holds, or for ten seconds. */
  async waitUntil(holds: () => Promise<boolean> | boolean): Promise<void> {
    const untilMs = performance.now() + TIMEOUT_MS;
    while (!(await holds()) && performance.now() < untilMs) {
      await pause(RETRY_INTERVAL_MS);
    }
  }

  private write(name: string, content: object): void {
    writeFileSync(join(this.folder, name), JSON.stringify(content));
  }

  private describeSite(): object {
    const {port} = this.upstream.address() as AddressInfo;
    const route = {
      host: 'site.example',
      targets: [{service: 'app', weight: 1}],
      latencyObjectiveMs: 200,
    };
    return {
      version: 1,
      routes: [
        {...route, name: 'orders', prefix: '/orders/', kind: 'unsafe'},
        {...route, name: 'stream', prefix: '/stream/', kind: 'stream'},
      ].map(one => ({...one, timeoutMs: 4_000})),
      services: [{name: 'app'}],
      accounts: [{name: 'mill', keys: ['key-mill']}],
      upstreams: [
        {
          id: 'app-1',
          service: 'app',
          address: `${LOCAL}:${port}`,
          failureDomain: 'a',
          slots: 200,
        },
      ],
      ...this.siteChanges,
    };
  }
}

function sendEvents(response: ServerResponse, count: number): void {
  response.writeHead(200, {'Content-Type': 'text/event-stream'});
  let left = count;
  const timer = setInterval(() => {
    if (left-- <= 0) response.end();
    else if (!response.writableNeedDrain) response.write(EVENT);
  }, EVENT_INTERVAL_MS);
  response.on('close', () => {
    clearInterval(timer);
  });
}
