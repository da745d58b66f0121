import {mkdtemp, mkdir, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {ListedHost} from '@parsleywood/schema/host_list';
import type {ListedUpstream} from '@parsleywood/schema/upstream_list';
import {Child} from './child.js';
import {chooseFailureDomain} from './choose_failure_domain.js';
import type {HostPlan} from './host_plan.js';
import {makeBaseSettings} from './make_base_settings.js';
import {makeOverlay} from './make_overlay.js';
import {planHosts} from './plan_hosts.js';
import {pollOk} from './poll_ok.js';
import {putValue} from './put_value.js';
import {SITE_ACCOUNTS} from './site_accounts.js';
import {SiteNames} from './site_names.js';
import type {SiteOptions} from './site_options.js';
import type {SiteReport} from './site_report.js';
import type {SiteUpstream} from './site_upstream.js';

const READY_WITHIN_MS = 60_000;
const ORDERS_OPEN_AFTER_MS = 50;
const STOP_HOST_MS = 30_000;
const STOP_STAND_IN_MS = 5_000;

/** A site of separate processes on loopback. */
export class LocalSite {
  private readonly hosts = new Map<string, Child>();
  private readonly standIns = new Map<string, Child>();
  private plans: HostPlan[] = [];
  private directory = '';
  private stopping: Promise<void> | undefined;

  constructor(private readonly options: SiteOptions) {}

  /** Starts all processes and waits until every host is ready. */
  async start(): Promise<SiteReport> {
    const {options} = this;
    if (options.logs) await mkdir(options.logs, {recursive: true});
    this.directory = await mkdtemp(join(tmpdir(), 'parsleywood-'));
    const platform = await this.startStandIn('platform', ['platform']);
    const engines = await this.startEngines();
    const services = await this.startServices();
    const keys = makeKeys();
    this.plans = await planHosts(options.hosts, this.directory, platform.url);
    const usual = makeBaseSettings(keys, options.memoryTokens);
    const base = {...usual, ...options.base};
    await putValue(platform.url, 'base', base);
    const hostList = {hosts: this.plans.map(listHost)};
    await putValue(platform.url, `hosts/${SiteNames.SITE}`, hostList);
    const upstreams = [
      ...engines.map((engine, i) => listUpstream(engine, i, 'engine')),
      ...services.map((service, i) => listUpstream(service, i, 'service')),
    ];
    const upstreamsKey = `upstreams/${SiteNames.SITE}`;
    await putValue(platform.url, upstreamsKey, {upstreams});
    for (const plan of this.plans) this.startHost(plan.settings.host);
    await this.waitForAll('healthz');
    // Orders are open from a time at which every host was already running,
    // beyond doubt of their clocks.
    const openAt = new Date(Date.now() + ORDERS_OPEN_AFTER_MS);
    const overlay = makeOverlay(openAt);
    await putValue(platform.url, `sites/${SiteNames.SITE}`, overlay);
    await this.waitForAll('readyz');
    await setTimeout(Math.max(openAt.getTime() - Date.now(), 0));
    return {
      ready: true,
      model: SiteNames.MODEL,
      service: SiteNames.SERVICE,
      keys,
      platform: platform.url,
      hosts: this.plans.map(plan => this.describeHost(plan)),
      engines,
      services,
    };
  }

  /** Starts a host that is not running. */
  startHost(name: string): Child {
    this.checkRunning();
    const plan = this.findPlan(name);
    const daemon = this.options.daemon ?? resolveMain('daemon');
    const args = [daemon, '--settings', plan.file];
    const child = new Child(name, args, this.options.logs);
    this.hosts.set(name, child);
    return child;
  }

  /** Waits until a host is ready. */
  async waitForHost(name: string, path = 'readyz'): Promise<void> {
    const {operatorsAddress} = this.findPlan(name).settings;
    const untilMs = performance.now() + READY_WITHIN_MS;
    const url = `http://${operatorsAddress}/${path}`;
    await pollOk(url, untilMs, () => {
      const child = this.hosts.get(name);
      this.checkRunning();
      if (!child?.isOver) return;
      throw new Error(`${name} ended with exit code ${child.exitCode}`);
    });
  }

  /** Process of a host. */
  findHost(name: string): Child | undefined {
    return this.hosts.get(name);
  }

  /** Process of a stand-in. */
  findStandIn(name: string): Child | undefined {
    return this.standIns.get(name);
  }

  /** Ends all processes, hosts first, and removes what was written. */
  stop(): Promise<void> {
    this.stopping ??= this.stopAll();
    return this.stopping;
  }

  private async stopAll(): Promise<void> {
    const hosts = [...this.hosts.values()];
    await Promise.all(hosts.map(child => child.stop(STOP_HOST_MS)));
    const standIns = [...this.standIns.values()];
    await Promise.all(standIns.map(child => child.stop(STOP_STAND_IN_MS)));
    if (this.directory === '') return;
    await rm(this.directory, {recursive: true, force: true});
  }

  private async startEngines(): Promise<SiteUpstream[]> {
    const {engines, engineSpeed, memoryTokens, engineRestartMs} = this.options;
    const args = ['engine', '--model', SiteNames.MODEL];
    args.push('--speed', String(engineSpeed));
    args.push('--memory-tokens', String(memoryTokens));
    if (engineRestartMs !== undefined) {
      args.push('--restart-after-ms', String(engineRestartMs));
    }
    const starts = Array.from({length: engines}, (_, index) =>
      this.startStandIn(`engine-${index + 1}`, args),
    );
    return Promise.all(starts);
  }

  private async startServices(): Promise<SiteUpstream[]> {
    const starts = Array.from({length: this.options.services}, (_, index) =>
      this.startStandIn(`service-${index + 1}`, ['service']),
    );
    return Promise.all(starts);
  }

  private async startStandIn(
    name: string,
    args: readonly string[],
  ): Promise<SiteUpstream> {
    this.checkRunning();
    const main = resolveMain('stand-ins');
    const nodeArgs = [main, ...args, '--until-input-ends'];
    const child = new Child(name, nodeArgs, this.options.logs);
    this.standIns.set(name, child);
    const {address} = JSON.parse(await child.readLine()) as {address: string};
    return {name, url: `http://${address}`};
  }

  private async waitForAll(path: string): Promise<void> {
    const names = [...this.hosts.keys()];
    await Promise.all(names.map(name => this.waitForHost(name, path)));
  }

  private checkRunning(): void {
    if (this.stopping) throw new Error('the site is being stopped');
  }

  private findPlan(name: string): HostPlan {
    const plan = this.plans.find(({settings}) => settings.host === name);
    if (!plan) throw new Error(`no host is named ${name}`);
    return plan;
  }

  private describeHost({settings}: HostPlan): SiteReport['hosts'][number] {
    const {host: name, callersAddress, operatorsAddress} = settings;
    return {
      name,
      pid: this.hosts.get(name)?.pid ?? 0,
      callers: `http://${callersAddress}`,
      operators: `http://${operatorsAddress}`,
    };
  }
}

function resolveMain(folder: string): string {
  const url = new URL(`../../${folder}/dist/main.js`, import.meta.url);
  return fileURLToPath(url);
}

function makeKeys(): Record<string, string> {
  const accounts = Object.keys(SITE_ACCOUNTS);
  return Object.fromEntries(
    accounts.map(account => [account, `demo-key-of-${account}`]),
  );
}

function listHost({settings}: HostPlan): ListedHost {
  const {host: name, callersAddress: callers, failureDomain} = settings;
  const {peersAddress: peers} = settings;
  return {name, callers, peers, failureDomain, state: 'live'};
}

function listUpstream(
  {name, url}: SiteUpstream,
  index: number,
  kind: ListedUpstream['kind'],
): ListedUpstream {
  const {host: address} = new URL(url);
  const serves = kind === 'engine' ? SiteNames.MODEL : SiteNames.SERVICE;
  const failureDomain = chooseFailureDomain(index);
  return {name, address, kind, serves, failureDomain, state: 'live'};
}
