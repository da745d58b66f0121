import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Child} from '../child.js';
import {findFreePorts} from '@parsleywood/stand-ins';
import {pollOk} from '../poll_ok.js';
import type {CheckedUpstream} from './checked_upstream.js';
import {describeSoakSite} from './describe_soak_site.js';

const MAIN = fileURLToPath(
  import.meta.resolve('@parsleywood/daemon/gateway_main'),
);
const LOCAL = '127.0.0.1';
const PORTS_PER_GATEWAY = 5;
const READY_LIMIT_MS = 15_000;
const STOP_MS = 6_000;

/** Gateways as processes of their own, which read one site file. */
export class GatewayFleet {
  private readonly folder = mkdtempSync(join(tmpdir(), 'parsleywood-soak-'));
  private children: Child[] = [];
  private addresses: string[][] = [];
  private version = 0;
  private epoch = 0;
  private revision = 0;
  /** What was published, the oldest first. */
  private readonly history: object[] = [];

  constructor(
    private readonly upstreams: readonly CheckedUpstream[],
    private readonly logs: string | undefined,
  ) {}

  /** IP:port of each gateway for callers. */
  get callers(): string[] {
    return this.addresses.map(([callers = '']) => callers);
  }

  async start(count: number): Promise<void> {
    const ports = await findFreePorts(count * PORTS_PER_GATEWAY);
    this.addresses = Array.from({length: count}, (_none, at) =>
      ports
        .slice(at * PORTS_PER_GATEWAY, (at + 1) * PORTS_PER_GATEWAY)
        .map(port => `${LOCAL}:${port}`),
    );
    this.publish(new Set());
    for (let at = 0; at < count; at++) this.startOne(at);
    for (let at = 0; at < count; at++) await this.waitUntilReady(at);
  }

  /** Version of the site that was published last. */
  get publishedVersion(): number {
    return this.version;
  }

  /** Publishes a new version of the site. */
  publish(draining: ReadonlySet<string>): void {
    const site = describeSoakSite(++this.version, this.upstreams, draining);
    this.history.push(site);
    this.write(site, this.revision + 1);
  }

  /**
   * Lets the site come back from a copy.
   *
   * @param lost Number of versions that the copy lacks.
   */
  restore(lost: number): void {
    const at = Math.max(0, this.history.length - 1 - lost);
    this.epoch++;
    this.write(this.history[at] ?? {}, Math.max(1, this.revision - lost));
  }

  /** Leaves a file that cannot be read, until the next version. */
  breakFile(): void {
    writeFileSync(join(this.folder, 'site.json'), '{"version": ');
  }

  signal(at: number, signal: NodeJS.Signals): void {
    this.children[at]?.signal(signal);
  }

  /** Ends a gateway, by force or not, and starts it again. */
  async restart(at: number, isForced: boolean): Promise<void> {
    const child = this.children[at];
    if (isForced) await child?.kill();
    else await child?.stop(STOP_MS);
    this.startOne(at);
    await this.waitUntilReady(at);
  }

  async stop(): Promise<void> {
    await Promise.all(this.children.map(child => child.kill()));
    rmSync(this.folder, {recursive: true});
  }

  private write(site: object, revision: number): void {
    this.revision = revision;
    const text = JSON.stringify({...site, epoch: this.epoch, revision});
    writeFileSync(join(this.folder, 'site.json'), text);
  }

  private startOne(at: number): void {
    const [callers, readiness, directory, peers, metrics] =
      this.addresses[at] ?? [];
    const settings = {
      host: `g${at}`,
      failureDomain: `d${at}`,
      callersAddress: callers,
      readinessAddress: readiness,
      directoryAddress: directory,
      peersAddress: peers,
      metricsAddress: metrics,
      seedPeers: this.addresses.map(one => one[3]),
      bounds: {
        stopGraceMs: STOP_MS - 1_000,
        retryRatio: 0.2,
        retrySlack: 100,
        retryWindowMs: 10_000,
        directoryTtlMs: 1_000,
      },
    };
    const file = join(this.folder, `g${at}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const site = join(this.folder, 'site.json');
    this.children[at] = new Child(
      `g${at}`,
      [MAIN, '--settings', file, '--site', site],
      this.logs ?? this.folder,
    );
  }

  private async waitUntilReady(at: number): Promise<void> {
    const [, readiness = ''] = this.addresses[at] ?? [];
    const untilMs = performance.now() + READY_LIMIT_MS;
    await pollOk(`http://${readiness}/readyz`, untilMs, () => undefined);
  }
}
