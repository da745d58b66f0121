/**
 * Stand-ins for the platform's store and servers, and the project's hosts as processes
 * with the commands of the deploy file, all on loopback addresses.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {randomBytes, randomInt} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export const HOST = 'site.example';
export const KEY = 'key-mill';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const PROGRAM = join(ROOT, 'target', 'parsleywood.cjs');
/** Each site has loopback addresses of its own, since ports are the same on all hosts. */
const NET = `127.${randomInt(16, 250)}.${randomInt(1, 250)}`;
const PORTS = {front: 8227, ready: 8220, directory: 8224, control: 8229};
const PEER_PORT = 7340;
/** Interval at which servers check in. */
export const HEARTBEAT_MS = 1200;

const startedAt = performance.now();

/** Milliseconds since the script began. */
export function now() {
  return Math.round(performance.now() - startedAt);
}

export {pause};

/** A loopback address of this site. */
export function addressOf(last) {
  return `${NET}.${last}`;
}

export function newId() {
  return randomBytes(8).toString('hex');
}

/** Usual figures of the users' small deployments. */
export const BOUNDS = {
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

export const LIMITS = {
  MaxHeaderBytes: 16384,
  MaxBodyBytes: 4194304,
  HeaderTimeoutMs: 3000,
  IdleTimeoutMs: 15000,
};

export const ENGINE = {
  Slots: 11,
  KvCapacityTokens: 405000,
  Stride: 34,
  step_ms: 1.31,
  per_seq_ms: 0.001,
  context_per_k: 0.002,
  read_per_s: 154000,
  pairs_per_m: 0.162,
  chunk: 2048,
  report_lag_ms: 200,
  usual: {prompt: 5000, answer: 1000},
};

/** A configuration with one route of each kind. */
export function describeConfig(version, changes = {}) {
  const route = {
    Host: HOST,
    TimeoutMs: 10000,
    TargetLatencyMs: 200,
    Priority: 2,
    MaxAttempts: 2,
    AllowAnonymous: false,
  };
  return {
    Version: version,
    Routes: [
      {...route, Name: 'safe', Prefix: '/safe/', Kind: 'safe', Service: 'app'},
      {
        ...route,
        Name: 'unsafe',
        Prefix: '/unsafe/',
        Kind: 'unsafe',
        MaxAttempts: 1,
        Service: 'app',
      },
      {
        ...route,
        Name: 'stream',
        Prefix: '/stream/',
        Kind: 'stream',
        Service: 'llm',
        Sticky: true,
        Resumable: true,
        GapTargetMs: 250,
      },
    ],
    Services: [
      {Name: 'app', HealthPath: '/health', MaxConnections: 110},
      {Name: 'llm', HealthPath: '/health', MaxConnections: 434, Engine: ENGINE},
    ],
    Limits: LIMITS,
    Tenants: [{Name: 'mill', ApiKeys: [KEY], Priority: 2}],
    ...changes,
  };
}

/** The platform's store: reads and watches; down without an answer while `isDown`. */
export class Store {
  isDown = false;
  revision = 1;
  #events = [];
  #waiting = new Set();
  #server = createServer((request, response) => this.#take(request, response));

  async start() {
    this.address = await listen(this.#server, addressOf(200));
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Takes the store down: open calls are reset, further ones too. */
  goDown() {
    this.isDown = true;
    this.#server.closeAllConnections();
  }

  comeBack() {
    this.isDown = false;
  }

  put(key, content) {
    const value = Buffer.from(JSON.stringify(content)).toString('base64');
    this.#change({Key: key, Value: value, Lease: 0});
  }

  remove(key) {
    this.#change({Key: key, Removed: true});
  }

  #change(item) {
    this.revision++;
    this.#events.push({
      ...item,
      Revision: this.revision,
      CreatedRev: this.revision,
    });
    for (const wake of [...this.#waiting]) wake();
  }

  #take(request, response) {
    if (this.isDown) {
      request.socket.resetAndDestroy();
      return;
    }
    const url = new URL(request.url, 'http://store');
    const prefix = url.searchParams.get('Prefix') ?? '';
    if (url.pathname === '/kv-range') {
      const after = url.searchParams.get('After') ?? '';
      const items = new Map(this.#events.map(one => [one.Key, one]));
      const found = [...items.values()]
        .filter(one => !one.Removed && one.Key.startsWith(prefix))
        .filter(one => one.Key > after)
        .sort((left, right) => (left.Key < right.Key ? -1 : 1));
      this.#send(response, {
        Items: found,
        MorePages: false,
        StoreRevision: this.revision,
      });
      return;
    }
    const after = Number(url.searchParams.get('After'));
    const end = isLast => {
      const events = this.#events.filter(
        one => one.Revision > after && one.Key.startsWith(prefix),
      );
      if (events.length === 0 && !isLast) return;
      clearTimeout(timer);
      this.#waiting.delete(wake);
      this.#send(response, {events, StoreRevision: this.revision});
    };
    const wake = () => end(false);
    const waitMs = Number(url.searchParams.get('WaitMs'));
    const timer = setTimeout(() => end(true), waitMs);
    response.on('close', () => {
      clearTimeout(timer);
      this.#waiting.delete(wake);
    });
    this.#waiting.add(wake);
    wake();
  }

  #send(response, body) {
    if (response.destroyed) return;
    response.writeHead(200, {'Content-Type': 'application/json'});
    response.end(JSON.stringify(body));
  }
}

/**
 * A server of the platform. `answer(request, response, body)` is called for requests
 * that name this server; the head that each answer has is set.
 */
export class Server {
  arrivals = [];
  constructor(id, service, zone, answer) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.answer = answer;
    this.bornMs = Date.now();
    this.server = createServer((request, response) => {
      this.#take(request, response);
    });
    this.server.keepAliveTimeout = 60000;
    // Node.js drops headers beyond its own limit without a word; a server must not.
    this.server.maxHeadersCount = 0;
  }

  async start(ip) {
    this.address = await listen(this.server, ip);
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  describe(state = 'ready') {
    return {
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: 'v1',
      Slots: this.service === 'llm' ? 11 : 6,
      State: state,
      ColdRemainingMs: 0,
      Sequence: 1,
      born: this.bornMs,
    };
  }

  #take(request, response) {
    const {headers, url} = request;
    if (url === '/health') {
      response.writeHead(200, {'X-Parsleywood-Instance-Id': this.id}).end();
      return;
    }
    if (url === '/report') {
      const report = {
        Stage: 'colocated',
        Models: [{Name: 'm', Version: 1, Adapters: []}],
        Busy: false,
        Sequence: 0,
        QueueDepth: 0,
        Running: 0,
        KvUsed: 0,
        KvTotal: ENGINE.KvCapacityTokens,
        Handles: 0,
        pace: 1,
        Tickets: [],
      };
      response.writeHead(200, {'Content-Type': 'application/json'});
      response.end(JSON.stringify(report));
      return;
    }
    const id = headers['x-parsleywood-request-id'] ?? '';
    response.setHeader('X-Parsleywood-Request-Id', id);
    response.setHeader(
      'X-Parsleywood-Response-Stamp',
      `stamp-${this.id}-${id}`,
    );
    const expected = headers['x-parsleywood-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'X-Parsleywood-Instance-Id': this.id}).end();
      return;
    }
    if (this.answerUnread !== undefined) {
      this.answerUnread(request, response, id);
      return;
    }
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const arrival = {
        atMs: now(),
        id,
        call: `${request.method} ${url}`,
        headers,
        headerCount: request.rawHeaders.length / 2,
      };
      this.arrivals.push(arrival);
      this.answer(request, response, Buffer.concat(chunks), id, arrival);
    });
  }
}

async function listen(server, ip) {
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, resolve);
  });
  return `${ip}:${server.address().port}`;
}

/** One host of the project: a process with the command of the deploy file. */
export class Gateway {
  lines = [];
  starts = 0;

  constructor(name, last, zone, zones, seeds, storeAddress, changes = {}) {
    this.name = name;
    this.ip = addressOf(last);
    this.folder = mkdtempSync(join(tmpdir(), 'parsleywood-review-'));
    this.file = join(this.folder, 'boot.yaml');
    this.boot = {
      Node: name,
      Role: 'gateway',
      MachineClass: 'front',
      Serves: ['front', 'control', 'directory'],
      Ip: this.ip,
      Zone: zone,
      Region: 'region-a',
      Zones: Object.fromEntries(zones.map(one => [one, 'region-a'])),
      Listen: {
        Front: `${this.ip}:${PORTS.front}`,
        Ready: `${this.ip}:${PORTS.ready}`,
        Control: `${this.ip}:${PORTS.control}`,
        Directory: `${this.ip}:${PORTS.directory}`,
      },
      InternalPorts: [PEER_PORT, PEER_PORT + 15],
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
      },
      DataDir: null,
      Discovery: 'platform',
      Entry: 'directory',
      HeartbeatMs: HEARTBEAT_MS,
      Bounds: BOUNDS,
      Platform: {Address: storeAddress, form: 'read', ReadsPerS: 2000},
      ...changes,
    };
    this.writeSettings();
  }

  writeSettings() {
    writeFileSync(this.file, JSON.stringify(this.boot));
  }

  start() {
    this.starts++;
    const {PATH, HOME, LANG} = process.env;
    const env = {PATH, HOME, LANG, PARSLEYWOOD_BOOT: this.file};
    const child = spawn(
      process.execPath,
      ['--max-old-space-size=192', PROGRAM],
      {cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe']},
    );
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', chunk => {
        this.lines.push(...String(chunk).split('\n').filter(Boolean));
      });
    }
    child.once('exit', (code, signal) => {
      this.ended = {code, signal, atMs: now()};
    });
    this.ended = undefined;
    this.child = child;
  }

  async isReady() {
    const answer = await call({
      ip: this.ip,
      port: PORTS.ready,
      path: '/ready',
      limitMs: 500,
    });
    return answer.status === 200;
  }

  async waitUntilReady() {
    for (let tries = 0; tries < 100; tries++) {
      if (await this.isReady()) return;
      await pause(100);
    }
    throw new Error(`${this.name} is not ready: ${this.lines.slice(-3)}`);
  }

  signal(name) {
    this.child.kill(name);
  }

  stop() {
    if (this.ended === undefined) this.child?.kill('SIGKILL');
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** One call; resolves with what the caller saw. */
export function call({
  ip,
  port = PORTS.front,
  method = 'GET',
  path,
  id = newId(),
  body,
  headers = {},
  deadlineMs = 5000,
  limitMs = deadlineMs + 1000,
  agent = false,
}) {
  return new Promise(resolve => {
    const sentAtMs = now();
    let isOver = false;
    const end = seen => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      resolve({id, sentAtMs, endedAtMs: now(), ...seen});
    };
    const request = httpRequest(
      {
        host: ip,
        port,
        method,
        path,
        agent,
        headers: {
          Host: HOST,
          'X-Parsleywood-Request-Id': id,
          'X-Parsleywood-Request-Deadline-Ms': String(deadlineMs),
          'X-Parsleywood-Key': KEY,
          ...(body && {'Content-Length': String(body.length)}),
          ...headers,
        },
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', error => end({error: error.code}));
        response.on('close', () => {
          end({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
            isWhole: response.complete,
          });
        });
      },
    );
    const timer = setTimeout(() => {
      end({error: 'no answer'});
      request.destroy();
    }, limitMs);
    request.on('error', error => end({error: error.code ?? error.message}));
    request.end(body);
  });
}

/** A site: a store, servers and hosts. */
export class Site {
  store = new Store();
  servers = [];
  gateways = [];
  zones = ['zone-a', 'zone-b', 'zone-c'];
  #isStopped = false;
  #checkIns = [];

  async addServer(id, service, answer) {
    const at = this.servers.length;
    const zone = this.zones[at % this.zones.length];
    const server = new Server(id, service, zone, answer);
    await server.start(addressOf(100 + at));
    this.servers.push(server);
    return server;
  }

  async start({hosts = 1, config = describeConfig(1), changes = {}} = {}) {
    await this.store.start();
    this.store.put('op/config', config);
    for (const one of this.servers) {
      this.store.put(`servers/${one.id}`, one.describe());
    }
    const seeds = Array.from({length: Math.min(hosts, 3)}, (_, at) => {
      return `${addressOf(10 + at)}:${PORTS.control}`;
    });
    for (let at = 0; at < hosts; at++) {
      const zone = this.zones[at % this.zones.length];
      this.gateways.push(
        new Gateway(
          `front-${at + 1}`,
          10 + at,
          zone,
          this.zones,
          seeds,
          this.store.address,
          changes,
        ),
      );
    }
    for (const one of this.gateways) one.start();
    for (const one of this.gateways) await one.waitUntilReady();
    // Hosts find each other.
    await pause(1500);
  }

  /**
   * Lets the servers check in every `HeartbeatMs`, and the store drop the entries of
   * those that have been silent for three of these intervals. A server with `isCut`
   * does not reach the store.
   *
   * @param note Called when an entry is dropped or is back.
   */
  startCheckIns(note) {
    const seenAtMs = new Map(this.servers.map(one => [one.id, now()]));
    const listed = new Set(seenAtMs.keys());
    this.#checkIns = this.servers.map(one =>
      setInterval(() => {
        if (one.isCut) return;
        seenAtMs.set(one.id, now());
        this.store.put(`servers/${one.id}`, one.describe());
        if (listed.has(one.id)) return;
        listed.add(one.id);
        note('an entry is back', {server: one.id});
      }, HEARTBEAT_MS),
    );
    const expiry = setInterval(() => {
      for (const [id, atMs] of seenAtMs) {
        if (!listed.has(id) || now() - atMs < 3 * HEARTBEAT_MS) continue;
        listed.delete(id);
        this.store.remove(`servers/${id}`);
        note('an entry has expired', {server: id});
      }
    }, 50);
    this.#checkIns.push(expiry);
  }

  stop() {
    if (this.#isStopped) return;
    this.#isStopped = true;
    for (const timer of this.#checkIns) clearInterval(timer);
    for (const one of this.gateways) one.stop();
    for (const one of this.servers) one.stop();
    this.store.stop();
  }
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(folder, play) {
  const record = [];
  const note = (what, details = {}) => {
    record.push(
      `${String(now()).padStart(6)} ms  ${what} ${JSON.stringify(details)}`,
    );
  };
  const hasTrouble = process.env.TROUBLE !== '0';
  const site = new Site();
  let code = 2;
  const watchdog = setTimeout(() => {
    note('the case took too long');
    finish();
  }, 115000);
  const finish = () => {
    clearTimeout(watchdog);
    site.stop();
    writeFileSync(join(folder, 'record.txt'), `${record.join('\n')}\n`);
    process.exit(code);
  };
  process.on('exit', () => site.stop());
  process.on('SIGTERM', finish);
  process.on('SIGINT', finish);
  try {
    const isBroken = await play({site, note, hasTrouble});
    code = isBroken ? 1 : 0;
    note(isBroken ? 'RULE BROKEN' : 'rule held', {hasTrouble});
    console.log(record.slice(-4).join('\n'));
  } catch (error) {
    note('the case could not run', {reason: String(error?.stack ?? error)});
    console.error(error);
  }
  finish();
}
