import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Child} from '../child.js';
import {findFreePorts} from '@parsleywood/stand-ins';
import {pollOk} from '../poll_ok.js';
import type {CheckedUpstream} from './checked_upstream.js';
import {describeSoakSite} from './describe_soak_site.js';
import {UPSTREAM_HOSTS} from './upstream_hosts.js';

const MAIN = fileURLToPath(
  new URL('redirected_gateway_main.js', import.meta.url),
);
const LOCAL = '127.0.0.1';
const PORTS_PER_GATEWAY = 5;
const READY_LIMIT_MS = 15_000;
const STOP_MS = 6_000;
/** Line of a log; the reason without the stack. */
const UNCAUGHT = /"uncaught_exception".*"reason":"(?<reason>[^\\"]*)/;

/** Gateways as processes of their own, which read one site file. */
export class GatewayFleet {
  private readonly folder = mkdtempSync(join(tmpdir(), 'parsleywood-soak-'));
  private readonly logFolder: string;
  private children: Child[] = [];
  private addresses: string[][] = [];
  private version = 0;
  private epoch = 0;
  private revision = 0;
  private readonly ready = new Set<number>();
  private readonly exits: string[] = [];
  /** What was published, the oldest first. */
  private readonly history: object[] = [];

  constructor(
    private readonly upstreams: readonly CheckedUpstream[],
    logs: string | undefined,
  ) {
    this.logFolder = logs ?? this.folder;
  }

  /** IP:port of each gateway for callers. */
  get callers(): string[] {
    return this.addresses.map(([callers = '']) => callers);
  }

  /** IP:port of each gateway's directory. */
  get directories(): string[] {
    return this.addresses.map(([, , directory = '']) => directory);
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

  /** Time after SIGTERM in which gateways finish requests. */
  get stopGraceMs(): number {
    return STOP_MS - 1_000;
  }

  /** Exceptions that no code of the gateways caught, each once. */
  listExceptions(): string[] {
    const lines = this.addresses.flatMap((_none, at) =>
      readFileSync(join(this.logFolder, `g${at}.log`), 'utf8').split('\n'),
    );
    const reasons = lines.flatMap(
      line => UNCAUGHT.exec(line)?.groups?.['reason'] ?? [],
    );
    return [...new Set(reasons)];
  }

  /** Gateways that ended by themselves. */
  listExits(): string[] {
    this.children.forEach((_child, at) => {
      this.noteExit(at);
    });
    return this.exits;
  }

  /**
   * Publishes a new version of the site.
   *
   * @param odd Entries in the list of upstreams at which nothing can be reached.
   */
  publish(draining: ReadonlySet<string>, odd: readonly object[] = []): void {
    const site = describeSoakSite(
      ++this.version,
      this.upstreams,
      draining,
      odd,
    );
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
  breakFile(text: string): void {
    writeFileSync(join(this.folder, 'site.json'), text);
  }

  /** Signals a gateway, unless it is only starting. */
  signal(at: number, signal: NodeJS.Signals): void {
    if (this.ready.has(at)) this.children[at]?.signal(signal);
  }

  /** Ends a gateway, by force or not, and starts it again. */
  async restart(at: number, isForced: boolean): Promise<void> {
    const child = this.children[at];
    this.noteExit(at);
    if (isForced) await child?.kill();
    else await child?.stop(STOP_MS);
    this.ready.delete(at);
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
        stopGraceMs: this.stopGraceMs,
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
      [
        MAIN,
        UPSTREAM_HOSTS.listed,
        UPSTREAM_HOSTS.getFor(at),
        '--settings',
        file,
        '--site',
        site,
      ],
      this.logFolder,
    );
  }

  private async waitUntilReady(at: number): Promise<void> {
    const [, readiness = ''] = this.addresses[at] ?? [];
    const untilMs = performance.now() + READY_LIMIT_MS;
    await pollOk(`http://${readiness}/readyz`, untilMs, () => undefined);
    this.ready.add(at);
  }

  private noteExit(at: number): void {
    const child = this.children[at];
    if (child?.isOver) {
      this.exits.push(`${child.name} ended by itself: ${child.exitCode}`);
    }
  }
}
