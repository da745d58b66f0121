/**
 * A small site for the cases: a stand-in of the platform's store, hosts started with the
 * command of the deploy file, and a record of what was sent, answered and run.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer, get} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export {pause};

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const METRICS_PORT = 9464;
const PAGE_ITEMS = 500;

/** Ends the script as one that could not run. */
export class CannotRun extends Error {}

/** Lines with times since the start, kept in a file. */
export class Record {
  constructor(file) {
    this.file = file;
    this.beganMs = performance.now();
    writeFileSync(file, '');
  }

  now() {
    return Math.round(performance.now() - this.beganMs);
  }

  write(line) {
    appendFileSync(this.file, `${String(this.now()).padStart(7)} ${line}\n`);
  }
}

/** Returns a free port that several loopback addresses share. */
export async function findPort(ips) {
  for (let tries = 0; tries < 50; tries++) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const free = await Promise.all(ips.map(ip => isFree(ip, port)));
    if (free.every(Boolean)) return port;
  }
  throw new CannotRun('no free port');
}

function isFree(ip, port) {
  return new Promise(resolve => {
    const server = createTcpServer();
    server.on('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

/** Loopback addresses on which the metrics port is free, in a block of their own. */
export async function findAddresses(count) {
  for (let tries = 0; tries < 50; tries++) {
    const block = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const ips = Array.from(
      {length: count},
      (_none, at) => `${block}.${at + 1}`,
    );
    const free = await Promise.all(ips.map(ip => isFree(ip, METRICS_PORT)));
    if (free.every(Boolean)) return ips;
  }
  throw new CannotRun('no free loopback addresses');
}

/** Stand-in of the platform's store: lists, watches, eras. */
export class Store {
  constructor() {
    this.revision = 1;
    this.era = 0;
    this.items = [];
    this.waiting = new Set();
    this.isDown = false;
    this.server = createServer((request, response) =>
      this.take(request, response),
    );
  }

  async start(ip = '127.0.0.1') {
    await new Promise(resolve => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Resets what is open, and each call until the store is back. */
  goDown() {
    this.isDown = true;
    this.server.closeAllConnections();
  }

  comeBack() {
    this.isDown = false;
  }

  /** Takes a copy, from which the store may come back. */
  copy() {
    return {revision: this.revision, items: [...this.items]};
  }

  /** Comes back from a copy: what was written since is gone. */
  restore({revision, items}) {
    this.revision = revision;
    this.items = [...items];
    this.era++;
    this.isDown = false;
  }

  write(key, content) {
    const value = Buffer.from(JSON.stringify(content)).toString('base64');
    const Revision = ++this.revision;
    const earlier = this.items.findLast(item => item.Key === key);
    const CreatedRev =
      earlier && !earlier.Removed ? earlier.CreatedRev : Revision;
    this.change({Key: key, Value: value, Revision, CreatedRev, Lease: 0});
    return Revision;
  }

  remove(key) {
    const Revision = ++this.revision;
    this.change({Key: key, Revision, Removed: true});
    return Revision;
  }

  change(item) {
    this.items.push(item);
    for (const wake of [...this.waiting]) wake();
  }

  take(request, response) {
    if (this.isDown) {
      request.socket.resetAndDestroy();
      return;
    }
    const url = new URL(request.url ?? '/', 'http://store');
    const query = url.searchParams;
    const prefix = query.get('Prefix') ?? '';
    if (url.pathname === '/kv-range') {
      const last = new Map(this.items.map(item => [item.Key, item]));
      const found = [...last.values()]
        .filter(({Key, Removed}) => !Removed && Key.startsWith(prefix))
        .filter(({Key}) => Key > (query.get('After') ?? ''))
        .sort((left, right) => (left.Key < right.Key ? -1 : 1));
      this.send(response, 200, {
        Items: found.slice(0, PAGE_ITEMS),
        MorePages: found.length > PAGE_ITEMS,
        StoreRevision: this.revision,
      });
    } else if (url.pathname === '/kv-watch') {
      this.watch(
        prefix,
        Number(query.get('After')),
        Number(query.get('WaitMs')),
        response,
      );
    } else this.send(response, 404, {});
  }

  watch(prefix, after, waitMs, response) {
    if (after > this.revision) {
      this.send(response, 410, {});
      return;
    }
    let timer;
    const answer = isLate => {
      const events = this.items.filter(
        ({Key, Revision}) => Revision > after && Key.startsWith(prefix),
      );
      if (events.length === 0 && !isLate) return;
      clearTimeout(timer);
      this.waiting.delete(answer);
      this.send(response, 200, {events, StoreRevision: this.revision});
    };
    timer = setTimeout(() => answer(true), waitMs);
    this.waiting.add(answer);
    response.on('close', () => {
      clearTimeout(timer);
      this.waiting.delete(answer);
    });
    answer(false);
  }

  send(response, status, body) {
    const headers = {'Content-Type': 'application/json'};
    if (this.era > 0) headers['Store-Era'] = this.era;
    response.writeHead(status, headers).end(JSON.stringify(body));
  }
}

/** Hosts of one site, each a process of its own. */
export class Hosts {
  /** @param findStore Returns the address of the store for a host, by its number. */
  constructor(record, findStore, changes = {}) {
    this.record = record;
    this.findStore = findStore;
    this.changes = changes;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.list = [];
    // Also when the script is ended early.
    process.on('exit', () => this.kill());
  }

  async start(count) {
    const {command, args} = readCommand();
    if (!existsSync(join(ROOT, 'target/parsleywood.cjs'))) {
      throw new CannotRun(
        'target/parsleywood.cjs is missing: build the deploy file first',
      );
    }
    const ips = await findAddresses(count);
    const ports = [];
    for (let at = 0; at < 5; at++) ports.push(await findPort(ips));
    const [front, ready, control, directory, inner] = ports;
    this.list = ips.map((ip, at) => {
      const file = join(this.folder, `boot-${at}.yaml`);
      const boot = {
        ...describeBoot(ip, at, ips, {front, ready, control, directory, inner}),
        Platform: {
          Address: this.findStore(at),
          form: 'read',
          ReadsPerS: 2000,
          HistoryS: 20,
        },
        ...this.changes,
      };
      // JSON is YAML.
      writeFileSync(file, JSON.stringify(boot));
      return {
        name: `host-${at}`,
        ip,
        file,
        command,
        args,
        front: `${ip}:${front}`,
        ready: `${ip}:${ready}`,
        directory: `${ip}:${directory}`,
      };
    });
    for (const host of this.list) this.spawn(host);
    for (const host of this.list) await this.awaitReady(host);
  }

  spawn(host) {
    const {PATH, HOME = '/', LANG = 'C'} = process.env;
    const child = spawn(host.command, host.args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, PARSLEYWOOD_BOOT: host.file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    host.child = child;
    host.log = join(this.folder, `${host.name}.log`);
    const keep = bytes => {
      if (existsSync(this.folder)) appendFileSync(host.log, bytes);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      host.ended = {code, signal};
      this.record.write(
        `${host.name} process ended: code ${code} signal ${signal}`,
      );
    });
    host.ended = undefined;
    this.record.write(`${host.name} process started`);
  }

  async awaitReady(host, limitMs = 20_000) {
    const untilMs = performance.now() + limitMs;
    while (performance.now() < untilMs) {
      if (await isReady(host.ready)) {
        this.record.write(`${host.name} is ready`);
        return;
      }
      if (host.ended) throw new CannotRun(`${host.name} ended at its start`);
      await pause(100);
    }
    throw new CannotRun(`${host.name} did not become ready`);
  }

  kill() {
    for (const {child, ended} of this.list) {
      if (child && !ended) child.kill('SIGKILL');
    }
  }

  async stop() {
    this.kill();
    await pause(300);
    rmSync(this.folder, {recursive: true, force: true});
  }
}

function isReady(address) {
  return new Promise(resolve => {
    const call = get(`http://${address}/ready`, answer => {
      answer.resume();
      resolve(answer.statusCode === 200);
    });
    call.on('error', () => resolve(false));
  });
}

/** Reads the command of the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "([^"]*)"$/m.exec(text)?.[1];
  if (run === undefined)
    throw new CannotRun('deploy/system.toml names no command');
  const [command, ...args] = run.split(' ');
  return {command, args};
}

function describeBoot(ip, at, ips, {front, ready, control, directory, inner}) {
  return {
    Node: `front-${at}`,
    Role: 'gateway',
    MachineClass: 'front',
    Serves: ['front', 'control', 'directory'],
    Ip: ip,
    Zone: 'zone-a',
    Region: 'region-a',
    Zones: {'zone-a': 'region-a'},
    Listen: {
      Front: `${ip}:${front}`,
      Ready: `${ip}:${ready}`,
      Control: `${ip}:${control}`,
      Directory: `${ip}:${directory}`,
    },
    InternalPorts: [inner, inner],
    Seeds: ips.slice(0, 3).map(one => `${one}:${control}`),
    Bootstrap: true,
    LossCounts: false,
    Limits: {
      CpuShare: 0.675,
      CpuCores: 1,
      MemoryMb: 350,
      MaxFds: 4100,
      LinkMbps: 1000,
      DiskMb: 0,
    },
    DataDir: null,
    Discovery: 'platform',
    Entry: 'directory',
    HeartbeatMs: 1200,
    Contracts: [
      'base',
      'drain',
      'config',
      'cost',
      'retry',
      'recover',
      'engine',
      'stream',
      'tenants',
      'platform',
      'spans',
    ],
    FaultTolerance: {Machines: 1, Zones: 0, Regions: 0},
    Bounds: {
      SeedLagS: 3,
      ReuseDelayS: 2,
      StableWindowMs: 3000,
      AckMs: 4000,
      CatchUpS: 4,
      DrainMs: 2000,
      GraceS: 8,
      LossSlackMs: 200,
      ConfigDeadlineMs: 2000,
      RollbackSlackMs: 250,
      MaxSkewMs: 5000,
      RetryBudgetRatio: 0.2,
      BudgetWindowS: 10,
      RetryBudgetSlack: 106,
      RecoveryS: 12,
      PassMs: 120,
      RetryAfterS: 0,
      ttl_max_s: 5,
    },
  };
}

/** The values of a site's engines, as the sheet of brindlecote-mill gives them. */
export const ENGINE = {
  Slots: 11,
  KvCapacityTokens: 405_000,
  Stride: 34,
  step_ms: 1.31,
  per_seq_ms: 0.000917,
  context_per_k: 0.00213,
  read_per_s: 154_000,
  pairs_per_m: 0.162,
  chunk: 2_048,
  report_lag_ms: 200,
  usual: {prompt: 16_000, answer: 1_200},
};

/** A configuration with the routes of a small site. */
export function describeConfiguration(version, changes = {}) {
  const route = {
    Host: 'mill.example',
    TimeoutMs: 1200,
    TargetLatencyMs: 150,
    Priority: 2,
    MaxAttempts: 2,
    AllowAnonymous: false,
  };
  const stream = {
    ...route,
    TimeoutMs: 10_000,
    TargetLatencyMs: 300,
    GapTargetMs: 250,
    Kind: 'stream',
    Resumable: true,
    Sticky: true,
    Service: 'kernel-llm',
  };
  return {
    Version: version,
    Routes: [
      {
        ...route,
        Name: 'bin-read',
        Prefix: '/bins/',
        Kind: 'safe',
        Service: 'millyard-app',
      },
      {
        ...route,
        Name: 'waste-booking',
        Prefix: '/bookings/',
        Kind: 'unsafe',
        MaxAttempts: 1,
        Service: 'millyard-app',
      },
      {...stream, Name: 'shift-query', Prefix: '/shift/'},
      {
        ...stream,
        Name: 'fault-digest',
        Prefix: '/digest/',
        TargetLatencyMs: 1500,
        GapTargetMs: 600,
      },
      {
        ...stream,
        Name: 'ledger-audit',
        Prefix: '/ledger/',
        TimeoutMs: 15_000,
        TargetLatencyMs: 4000,
        GapTargetMs: 1000,
      },
    ],
    Services: [
      {Name: 'millyard-app', HealthPath: '/health', MaxConnections: 110},
      {
        Name: 'kernel-llm',
        HealthPath: '/health',
        MaxConnections: 434,
        Engine: ENGINE,
      },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 5_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [
      {Name: 'mill', ApiKeys: ['key-mill']},
      {Name: 'shop', ApiKeys: ['key-shop']},
    ],
    ...changes,
  };
}

/** What a server registers of itself. */
export function describeServer(service, address, slots, changes = {}) {
  return {
    Service: service,
    Address: address,
    Zone: 'zone-a',
    Version: 'v1',
    Slots: slots,
    State: 'ready',
    ColdRemainingMs: 0,
    Sequence: 1,
    born: Date.now(),
    ...changes,
  };
}

/** Runs a case: exits with 0, 1 or 2 as the case holds, fails or cannot run. */
export async function runCase(run) {
  let code = 2;
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
    process.once(signal, () => process.exit(code));
  }
  try {
    code = (await run()) ? 0 : 1;
  } catch (error) {
    process.stderr.write(`${String(error?.stack ?? error)}\n`);
  }
  process.exit(code);
}
