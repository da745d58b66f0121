import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {startEngine, startPlatform, type StandIn} from '@parsleywood/stand-ins';
import {Child} from './child.js';
import {chooseFailureDomain} from './choose_failure_domain.js';
import {ConnectionMeter} from './connection_meter.js';
import type {ControlPlan} from './control_plan.js';
import type {ControlReading} from './control_reading.js';
import type {HostPlan} from './host_plan.js';
import {makeControlValues} from './make_control_values.js';
import {planHosts} from './plan_hosts.js';
import {pollOk} from './poll_ok.js';
import {putValue} from './put_value.js';
import {readCounters} from './read_counters.js';
import {readProcessorMs} from './read_processor_ms.js';
import {readResidentMb} from './read_resident_mb.js';
import {SiteNames} from './site_names.js';

const READY_WITHIN_MS = 90_000;
const STOP_HOST_MS = 10_000;
const DAEMON = new URL('../../daemon/dist/main.js', import.meta.url);

/** Hosts as processes without callers; stand-ins run in this process. */
export class ControlSite {
  private readonly meter = new ConnectionMeter();
  private readonly children: Child[] = [];
  private readonly engines: StandIn[] = [];
  private readonly openAt = new Date();
  private platform: StandIn | undefined;
  private plans: readonly HostPlan[] = [];
  private directory = '';

  constructor(private readonly plan: ControlPlan) {}

  /** Starts all and waits until every host is ready. */
  async start(): Promise<void> {
    this.meter.start();
    this.directory = await mkdtemp(join(tmpdir(), 'parsleywood-'));
    this.platform = await startPlatform();
    for (let index = 0; index < this.plan.engines; index++) {
      this.engines.push(await startEngine({models: [SiteNames.MODEL]}));
    }
    const {url} = this.platform;
    this.plans = await planHosts(this.plan.hosts, this.directory, url);
    await this.publish();
    for (const {settings, file} of this.plans) {
      const args = [fileURLToPath(DAEMON), '--settings', file];
      const quiet = ['--logLevel', 'error'];
      const child = [...args, ...quiet];
      this.children.push(new Child(settings.host, child, this.directory));
    }
    const untilMs = performance.now() + READY_WITHIN_MS;
    const ready = this.operators().map(operators =>
      pollOk(`${operators}/readyz`, untilMs, () => undefined),
    );
    await Promise.all(ready);
  }

  /** Publishes the base once more, changed in one number. */
  async changeBase(keepHostsForMs: number): Promise<void> {
    const {accounts} = this.plan;
    const {base} = makeControlValues(accounts, this.openAt, keepHostsForMs);
    await putValue(this.platform?.url ?? '', 'base', base);
  }

  async read(): Promise<ControlReading> {
    const atMs = performance.now();
    const pids = this.children.map(({pid}) => pid);
    const processorMs = sum(await Promise.all(pids.map(readProcessorMs)));
    const counters = await Promise.all(this.operators().map(readCounters));
    const total = (name: string): number =>
      sum(counters.map(one => one.get(name) ?? 0));
    const socketBytes = 'parsleywood_peer_socket_bytes';
    return {
      atMs,
      processorMs,
      peerMessages: total('parsleywood_peer_messages_total:sent'),
      peerMessageBytes: total('parsleywood_peer_message_bytes_total:sent'),
      peerWireBytes:
        total(`${socketBytes}:sent`) + total(`${socketBytes}:received`),
      platformCalls: total('parsleywood_platform_calls_total'),
      platformBytes: this.meter.readBytes(listPorts([this.platform])),
      loadPolls: total('parsleywood_load_polls_total'),
      engineBytes: this.meter.readBytes(listPorts(this.engines)),
    };
  }

  /** Resident memory of each host, in megabytes. */
  async readMemory(): Promise<number[]> {
    return Promise.all(this.operators().map(readResidentMb));
  }

  async stop(): Promise<void> {
    await Promise.all(this.children.map(child => child.stop(STOP_HOST_MS)));
    await Promise.all(this.engines.map(engine => engine.close()));
    await this.platform?.close();
    this.meter.stop();
    await rm(this.directory, {recursive: true, force: true});
  }

  private async publish(): Promise<void> {
    const {accounts} = this.plan;
    const platform = this.platform?.url ?? '';
    const {base, overlay} = makeControlValues(accounts, this.openAt, 2_000);
    await putValue(platform, 'base', base);
    await putValue(platform, `sites/${SiteNames.SITE}`, overlay);
    const hosts = this.plans.map(({settings}) => ({
      name: settings.host,
      callers: settings.callersAddress,
      peers: settings.peersAddress,
      failureDomain: settings.failureDomain,
      state: 'live',
    }));
    await putValue(platform, `hosts/${SiteNames.SITE}`, {hosts});
    const upstreams = this.engines.map(({address}, index) => ({
      name: `engine-${index + 1}`,
      address,
      kind: 'engine',
      serves: SiteNames.MODEL,
      failureDomain: chooseFailureDomain(index),
      state: 'live',
    }));
    await putValue(platform, `upstreams/${SiteNames.SITE}`, {upstreams});
  }

  private operators(): string[] {
    return this.plans.map(
      ({settings}) => `http://${settings.operatorsAddress}`,
    );
  }
}

function listPorts(standIns: readonly (StandIn | undefined)[]): Set<number> {
  return new Set(standIns.map(one => Number(new URL(one?.url ?? '').port)));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
