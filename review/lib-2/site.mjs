// A small deployment on loopback addresses: a store, servers and hosts. The hosts are
// started with the command of the deploy file, each as a process of its own.
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as pause} from 'node:timers/promises';
import {URL} from 'node:url';
import {Buffer} from 'node:buffer';

const ROOT = join(import.meta.dirname, '..', '..');
const BOUNDS = {
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
  StrictRevocation: false,
  RevokeMs: 5000,
  RetryBudgetRatio: 0.2,
  BudgetWindowS: 10,
  RetryBudgetSlack: 106,
  RecoveryS: 12,
  PassMs: 120,
  RetryAfterS: 0,
  stall_ms: 1500,
  HoldMaxMs: 20000,
  FreeMs: 4000,
  IdleMaxMs: 9000,
  ttl_max_s: 5,
};

/** Loopback network of this run, so that runs beside each other do not meet. */
const NET = `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}`;

/** Loopback address by its last number. */
export function ip(last) {
  return `${NET}.${last}`;
}

/** A port that nothing listens at. */
export async function freePort(address) {
  return new Promise((resolve, reject) => {
    const server = createTcpServer();
    server.once('error', reject);
    server.listen(0, address, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The platform's store: reads and watches. */
export class Store {
  constructor() {
    this.revision = 100;
    this.events = [];
    this.waiting = new Set();
    this.server = createServer((request, response) => {
      this.take(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async start() {
    const address = ip(1);
    await new Promise(resolve => this.server.listen(0, address, resolve));
    this.address = `${address}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  write(key, content) {
    const Value = Buffer.from(JSON.stringify(content)).toString('base64');
    const Revision = ++this.revision;
    this.events.push({
      Key: key,
      Value,
      Revision,
      CreatedRev: Revision,
      Lease: 0,
    });
    for (const wake of [...this.waiting]) wake();
  }

  remove(key) {
    this.events.push({Key: key, Revision: ++this.revision, Removed: true});
    for (const wake of [...this.waiting]) wake();
  }

  take(request, response) {
    const url = new URL(request.url, 'http://store');
    const prefix = url.searchParams.get('Prefix') ?? '';
    const send = body => {
      response.writeHead(200, {
        'Content-Type': 'application/json',
        'Store-Era': '1',
      });
      response.end(JSON.stringify(body));
    };
    if (url.pathname === '/kv-range') {
      const current = new Map();
      for (const event of this.events) current.set(event.Key, event);
      const Items = [...current.values()]
        .filter(one => !one.Removed && one.Key.startsWith(prefix))
        .sort((left, right) => (left.Key < right.Key ? -1 : 1));
      send({Items, MorePages: false, StoreRevision: this.revision});
      return;
    }
    const after = Number(url.searchParams.get('After'));
    const finish = isLate => {
      const events = this.events.filter(
        one => one.Revision > after && one.Key.startsWith(prefix),
      );
      if (events.length === 0 && !isLate) return;
      clearTimeout(timer);
      this.waiting.delete(wake);
      send({events, StoreRevision: this.revision});
    };
    const wake = () => finish(false);
    const timer = setTimeout(
      () => finish(true),
      Number(url.searchParams.get('WaitMs')),
    );
    this.waiting.add(wake);
    response.on('close', () => {
      clearTimeout(timer);
      this.waiting.delete(wake);
    });
    wake();
  }
}

const ENGINE = {
  Slots: 11,
  KvCapacityTokens: 405000,
  KvTokenBytes: 163840,
  LinkMbps: 400000,
  Stride: 34,
  Models: [{Name: 'm'}],
  step_ms: 1.31,
  per_seq_ms: 0.0013338181818181819,
  context_per_k: 0.00213,
  read_per_s: 154000,
  pairs_per_m: 0.162,
  chunk: 2048,
  report_lag_ms: 200,
  LoadsPerS: 0,
  loads_at_once: 8,
  usual: {prompt: 11323, answer: 1266},
  HopMs: 0.1,
};

/** A configuration with a route of each kind, as the operator writes it. */
export function describeConfiguration(version = 7) {
  const route = {
    Host: 'site.example',
    Priority: 1,
    MaxAttempts: 2,
    AllowAnonymous: false,
  };
  return {
    Version: version,
    Routes: [
      {
        ...route,
        Name: 'r-stream',
        Prefix: '/stream/',
        Kind: 'stream',
        Service: 'llm',
        TimeoutMs: 10000,
        TargetLatencyMs: 300,
        Sticky: true,
        Resumable: true,
        GapTargetMs: 250,
      },
      {
        ...route,
        Name: 'r-unsafe',
        Prefix: '/unsafe/',
        Kind: 'unsafe',
        Service: 'app',
        TimeoutMs: 2500,
        TargetLatencyMs: 193,
      },
      {
        ...route,
        Name: 'r-safe',
        Prefix: '/safe/',
        Kind: 'safe',
        Service: 'app',
        TimeoutMs: 2500,
        TargetLatencyMs: 193,
      },
    ],
    Services: [
      {
        Name: 'llm',
        HealthPath: '/health',
        MaxConnections: 434,
        Protocol: 'h1',
        Tls: false,
        Engine: ENGINE,
      },
      {
        Name: 'app',
        HealthPath: '/health',
        MaxConnections: 110,
        Protocol: 'h1',
        Tls: false,
      },
    ],
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15000,
    },
    Tenants: [{Name: 'mill', ApiKeys: ['key-mill'], Priority: 1}],
  };
}

export function describeServer(
  service,
  address,
  zone = 'dryer-hall',
  State = 'ready',
) {
  return {
    Service: service,
    Address: address,
    Zone: zone,
    Version: 'v1',
    Slots: service === 'llm' ? 11 : 6,
    State,
    ColdRemainingMs: 0,
    Stage: 'colocated',
    Models: [{Name: 'm', Version: 1, Adapters: []}],
    Sequence: 4,
    born: Date.now(),
  };
}

/** Processes of the system, as the deploy file starts them. */
export class Hosts {
  constructor(storeAddress) {
    this.storeAddress = storeAddress;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.hosts = [];
    this.ends = [];
  }

  async start(count, limits = {}) {
    const zones = ['dryer-hall', 'cracker-shed', 'weighbridge'];
    const ports = [];
    for (let at = 0; at < 5; at++) ports.push(await freePort(ip(10)));
    const [Front, Ready, Control, Directory, Internal] = ports;
    const last = at => 10 + at;
    const seeds = [0, 1, 2]
      .filter(at => at < count)
      .map(at => `${ip(last(at))}:${Control}`);
    for (let at = 0; at < count; at++) {
      const own = ip(last(at));
      const file = join(this.folder, `boot-${at}.yaml`);
      const boot = {
        Node: `front-${at}`,
        Role: 'gateway',
        MachineClass: 'front',
        Serves: ['front', 'control', 'directory'],
        Ip: own,
        Zone: zones[at % 3],
        Region: 'midlands-east',
        Zones: Object.fromEntries(zones.map(one => [one, 'midlands-east'])),
        Listen: {
          Front: `${own}:${Front}`,
          Ready: `${own}:${Ready}`,
          Control: `${own}:${Control}`,
          Directory: `${own}:${Directory}`,
        },
        InternalPorts: [Internal, Internal],
        Seeds: seeds,
        Bootstrap: true,
        LossCounts: false,
        Limits: {
          CpuShare: 0.675,
          CpuCores: 1,
          MemoryMb: 350,
          MaxFds: 4100,
          LinkMbps: 1000,
          DiskMb: 0,
          ...limits,
        },
        DataDir: null,
        Discovery: 'platform',
        Entry: 'directory',
        HeartbeatMs: 1200,
        Contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover'],
        FaultTolerance: {Machines: 1, Zones: 0, Regions: 0},
        Bounds: BOUNDS,
        Platform: {
          Address: this.storeAddress,
          form: 'read',
          WritesPerS: 400,
          ReadsPerS: 2000,
          HistoryS: 20,
          ValueBytes: 1048576,
          TtlMinMs: 1000,
        },
      };
      // JSON is YAML as well.
      writeFileSync(file, JSON.stringify(boot, null, 2));
      const host = {
        at,
        file,
        ip: own,
        front: Front,
        ready: Ready,
        directory: Directory,
      };
      this.hosts.push(host);
      this.run(host);
    }
    return this.hosts;
  }

  run(host) {
    const [program, ...words] = readRunCommand();
    host.process = spawn(program, words, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, PARSLEYWOOD_BOOT: host.file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    host.log = '';
    const keep = bytes => {
      host.log = (host.log + String(bytes)).slice(-4_000_000);
    };
    host.process.stdout.on('data', keep);
    host.process.stderr.on('data', keep);
    host.exit = undefined;
    const started = host.process;
    started.on('exit', (code, signal) => {
      if (host.process === started) host.exit = {code, signal};
      this.ends.push({host: host.at, code, signal});
    });
  }

  stop() {
    for (const {process: one} of this.hosts) one.kill('SIGKILL');
    rmSync(this.folder, {recursive: true, force: true});
  }
}

function readRunCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Resident memory of a process, in MB: all of it, or the part of a field. */
export function readResidentMb(pid, field = 'VmRSS') {
  try {
    const text = readFileSync(`/proc/${pid}/status`, 'utf8');
    const match = new RegExp(`^${field}:\\s+(\\d+)`, 'm').exec(text);
    return Number(match?.[1] ?? 0) / 1024;
  } catch {
    return 0;
  }
}

export {pause};
