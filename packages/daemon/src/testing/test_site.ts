import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
  startEngine,
  startPlatform,
  startService,
  type StandIn,
  findFreePorts,
} from '@parsleywood/stand-ins';
import type {StartSettings} from '@parsleywood/schema/start_settings';
import {HostProcess} from '../host_process.js';
import {startDaemon} from './start_daemon.js';
import {TEST_SETTINGS} from './test_settings.js';

const SITE = 'test-site';
const PEER_KEY = 'test-peer-key';
const ENGINE_SPEED = 20;
const PORTS_PER_HOST = 3;
const READY_POLL_INTERVAL_MS = 20;
const ORDER_OPENING_DELAY_MS = 20;

/** Small site for tests: hosts, engines, a service and the configuration service, in this process. */
export class TestSite {
  /** Exit codes that hosts requested, in order. */
  readonly exitCodes: number[] = [];
  private readonly hosts: HostProcess[] = [];

  private constructor(
    readonly platform: StandIn,
    readonly engines: readonly StandIn[],
    readonly service: StandIn,
    /** URL of the callers’ port of each host. */
    readonly urls: readonly string[],
    /** URL of the operators’ port of each host. */
    readonly operators: readonly string[],
    private readonly ports: readonly number[],
    private readonly settings: object,
  ) {}

  /** Starts a site, opens orders and waits until its hosts are ready. */
  static async start(
    hostCount: number,
    engineCount = 1,
    settings: object = TEST_SETTINGS,
  ): Promise<TestSite> {
    const platform = await startPlatform(0);
    const engines = await Promise.all(
      Array.from({length: engineCount}, () =>
        startEngine({models: ['test-llm'], speed: ENGINE_SPEED}),
      ),
    );
    const service = await startService({port: 0});
    const ports = await findFreePorts(hostCount * PORTS_PER_HOST);
    const url = (offset: number) => (_: unknown, index: number) =>
      `http://127.0.0.1:${ports[index * PORTS_PER_HOST + offset] ?? 0}`;
    const indexes = Array.from({length: hostCount});
    const site = new TestSite(
      platform,
      engines,
      service,
      indexes.map(url(0)),
      indexes.map(url(1)),
      ports,
      settings,
    );
    await site.publish();
    await Promise.all(indexes.map((_, index) => site.startHost(index)));
    await site.openOrders();
    await Promise.all(
      site.operators.map(operators => waitUntilReady(operators)),
    );
    return site;
  }

  /** URL of the first engine. */
  get engineUrl(): string {
    return this.engines[0]?.url ?? '';
  }

  /** Publishes a value at the configuration service. */
  async put(key: string, value: unknown): Promise<void> {
    const answer = await fetch(`${this.platform.url}/values/${key}`, {
      method: 'PUT',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(value),
    });
    await answer.arrayBuffer();
  }

  /** Stops a host gracefully. */
  async stopHost(index: number): Promise<void> {
    await this.hosts[index]?.stop();
  }

  /** Stops a host gracefully and starts a new incarnation under the same name. */
  async replaceHost(index: number): Promise<void> {
    await this.publishHosts(index);
    await this.stopHost(index);
    await this.publishHosts();
    await this.startHost(index);
    await waitUntilReady(this.operators[index] ?? '');
  }

  async stop(): Promise<void> {
    await Promise.all(this.hosts.map(host => host.stop()));
    const standIns = [this.platform, ...this.engines, this.service];
    await Promise.all(standIns.map(standIn => standIn.close()));
  }

  /** Stops a host gracefully and starts a new incarnation in a child process. */
  async moveHost(index: number): Promise<ChildProcess> {
    await this.stopHost(index);
    const child = startDaemon(this.describeHost(index), PEER_KEY);
    await waitUntilReady(this.operators[index] ?? '');
    return child;
  }

  private async startHost(index: number): Promise<void> {
    const host = new HostProcess(this.describeHost(index), PEER_KEY, code =>
      this.exitCodes.push(code),
    );
    this.hosts[index] = host;
    await host.start();
  }

  private describeHost(index: number): StartSettings {
    const [callers, operators, peers] = this.portsOf(index);
    return {
      host: `host-${index + 1}`,
      site: SITE,
      failureDomain: `domain-${index + 1}`,
      callersAddress: `127.0.0.1:${callers ?? 0}`,
      operatorsAddress: `127.0.0.1:${operators ?? 0}`,
      peersAddress: `127.0.0.1:${peers ?? 0}`,
      platformUrl: this.platform.url,
      peerKeyFile: 'unused',
      logLevel: 'error',
    };
  }

  private async publish(): Promise<void> {
    await this.put('base', this.settings);
    await this.publishHosts();
    await this.put(`upstreams/${SITE}`, {
      upstreams: [
        ...this.engines.map((engine, index) =>
          this.list(`engine-${index + 1}`, engine, 'engine', 'test-llm'),
        ),
        this.list('service-1', this.service, 'service', 'test-app'),
      ],
    });
  }

  /** @param leaving Index of the host to list as leaving; -1 for none. */
  private async publishHosts(leaving = -1): Promise<void> {
    await this.put(`hosts/${SITE}`, {
      hosts: this.urls.map((_, index) => ({
        name: `host-${index + 1}`,
        callers: `127.0.0.1:${this.portsOf(index)[0] ?? 0}`,
        peers: `127.0.0.1:${this.portsOf(index)[2] ?? 0}`,
        failureDomain: `domain-${index + 1}`,
        state: index === leaving ? 'leaving' : 'live',
      })),
    });
  }

  private async openOrders(): Promise<void> {
    await pause(ORDER_OPENING_DELAY_MS);
    await this.put(`sites/${SITE}`, {
      site: {name: SITE, region: 'test', failureDomains: ['domain-1']},
      orders: {openAt: new Date().toISOString()},
    });
  }

  private list(
    name: string,
    standIn: StandIn,
    kind: string,
    serves: string,
  ): object {
    const {address} = standIn;
    return {
      ...{name, address, kind, serves},
      failureDomain: 'domain-1',
      state: 'live',
    };
  }

  private portsOf(index: number): readonly number[] {
    const first = index * PORTS_PER_HOST;
    return this.ports.slice(first, first + PORTS_PER_HOST);
  }
}

async function waitUntilReady(operators: string): Promise<void> {
  for (;;) {
    try {
      const answer = await fetch(`${operators}/readyz`);
      await answer.arrayBuffer();
      if (answer.ok) return;
    } catch {
      // The host does not listen yet.
    }
    await pause(READY_POLL_INTERVAL_MS);
  }
}

async function pause(ms: number): Promise<void> {
  const signal = AbortSignal.timeout(ms);
  await once(signal, 'abort');
}
