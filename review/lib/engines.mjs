/** A site of engines and a plain service, and the traffic that its clients send. */
import {Buffer} from 'node:buffer';
import {fork} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {Agent, request} from 'node:http';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {HOST_NAME} from './client.mjs';
import {Service} from './service.mjs';
import {describeServer} from './site.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
/** The sheet of brindlecote-mill: engines, and requests at once at each. */
const ENGINES = 14;
const ENGINE_SLOTS = 11;
const SERVICE_SLOTS = 6;
const SERVICES = 3;
const SERVICE_MS = 43;
const EVENTS = 20;
/** Clients abandon a stream after a gap of two seconds. */
const GAP_MS = 2_000;

/** Engines, processes of their own, of which one can run away, and a plain service. */
export class Upstreams {
  /** @param head Head fields of an answer without end. @param unit What its body repeats. */
  constructor(store, head, unit) {
    this.store = store;
    this.endless = [head, unit];
    /** What ran a request, by the request's id. */
    this.runs = new Map();
    this.engines = [];
    this.services = [];
    this.children = [];
    // Also when the script is ended early.
    process.on('exit', () => {
      for (const child of this.children) child.kill('SIGKILL');
    });
  }

  async start() {
    for (let at = 0; at < ENGINES; at++) {
      const id = `llm-${at}`;
      const child = fork(join(FOLDER, 'runaway.mjs'), [id, ...this.endless]);
      this.children.push(child);
      const engine = {id, child};
      const port = await new Promise(resolve => {
        child.on('message', message => {
          if (message.port) resolve(message.port);
          else this.record(id, message);
        });
      });
      this.engines.push(engine);
      this.store.write(
        `servers/${id}`,
        describeServer('kernel-llm', `127.0.0.1:${port}`, ENGINE_SLOTS),
      );
    }
    for (let at = 0; at < SERVICES; at++) {
      const record = (id, ran) => this.runs.set(ran, {id, isSound: true});
      const service = new Service(`app-${at}`, record, SERVICE_MS);
      await service.start();
      this.services.push(service);
      this.store.write(
        `servers/${service.id}`,
        describeServer('millyard-app', service.address, SERVICE_SLOTS),
      );
    }
  }

  record(id, {ran, isSound}) {
    this.runs.set(ran, {id, isSound});
  }

  /** From now on answers to paths that begin so go on without end. */
  spoil(endlessPrefix) {
    for (const {child} of this.engines) child.send({endlessPrefix});
  }

  stop() {
    for (const {child} of this.engines) child.kill('SIGKILL');
    for (const service of this.services) service.stop();
  }
}

/** Clients that send questions to engines and bookings to the service. */
export class Traffic {
  constructor() {
    this.agent = new Agent({keepAlive: true, scheduling: 'lifo'});
    this.sent = [];
    this.turn = 0;
  }

  stop() {
    this.agent.destroy();
  }

  /** Sends a question of `fault-digest`. */
  digest(host) {
    const parts = `2:40,${randomBytes(4).toString('hex')}:44960`;
    return this.send(host, {
      path: `/digest/${this.turn++}`,
      deadlineMs: 10_000,
      gapMs: 6_000,
      body: 'x'.repeat(11_000),
      headers: {
        'X-Parsleywood-Model': 'm',
        'X-Parsleywood-Token-Counts': '45000,780',
        'X-Parsleywood-Prompt-Prefix': parts,
      },
    });
  }

  /** Sends a question of `ledger-audit`, whose client waits long for it. */
  audit(host) {
    const parts = `1:40,${randomBytes(4).toString('hex')}:181960`;
    return this.send(host, {
      path: `/ledger/${this.turn++}`,
      deadlineMs: 15_000,
      // Four times the objective.
      gapMs: 16_000,
      body: 'x'.repeat(29_000),
      headers: {
        'X-Parsleywood-Model': 'm',
        'X-Parsleywood-Token-Counts': '182000,650',
        'X-Parsleywood-Prompt-Prefix': parts,
      },
    });
  }

  /** Sends a question of `shift-query`. */
  ask(host, prefix = '/shift/') {
    const turn = this.turn++;
    const parts = `${(16 + (turn % 60)).toString(16)}:40,${randomBytes(4).toString('hex')}:4920`;
    return this.send(host, {
      path: `${prefix}${turn}`,
      deadlineMs: 10_000,
      gapMs: GAP_MS,
      body: 'x'.repeat(1_200),
      headers: {
        'X-Parsleywood-Model': 'm',
        'X-Parsleywood-Token-Counts': '4960,1300',
        'X-Parsleywood-Prompt-Prefix': parts,
      },
    });
  }

  book(host) {
    return this.send(host, {
      path: `/bookings/${this.turn++}`,
      deadlineMs: 2_500,
      gapMs: 2_500,
      body: 'x'.repeat(600),
    });
  }

  send(host, {path, deadlineMs, gapMs, body, headers}) {
    const id = randomBytes(8).toString('hex');
    const [address, port] = host.front.split(':');
    const one = {id, path, host: host.name, sentAtMs: performance.now()};
    this.sent.push(one);
    const chunks = [];
    const call = request({
      host: address,
      port,
      method: 'POST',
      path,
      agent: this.agent,
      headers: {
        Host: HOST_NAME,
        'Content-Length': body.length,
        'X-Parsleywood-Request-Id': id,
        'X-Parsleywood-Request-Deadline-Ms': deadlineMs,
        'X-Parsleywood-Key': 'key-mill',
        ...headers,
      },
    });
    const leave = () => {
      one.hasLeft = true;
      call.destroy();
    };
    let gap = setTimeout(leave, gapMs);
    const deadline = setTimeout(leave, deadlineMs);
    const end = isWhole => {
      if (one.endedAtMs !== undefined) return;
      clearTimeout(gap);
      clearTimeout(deadline);
      one.endedAtMs = performance.now();
      one.isWhole = isWhole;
      one.isKept = call.reusedSocket;
      one.events = Buffer.concat(chunks).toString().split('\n\n').length - 1;
    };
    call.on('response', answer => {
      one.status = answer.statusCode;
      answer.on('data', chunk => {
        chunks.push(chunk);
        clearTimeout(gap);
        gap = setTimeout(leave, gapMs);
      });
      answer.on('end', () => end(answer.complete));
      answer.on('error', () => end(false));
    });
    call.on('error', error => {
      one.error = error.code;
      end(false);
    });
    call.on('close', () => end(false));
    call.end(body);
  }
}

/** Whether a sound answer is whole. */
export function isWholeStream({status, isWhole, events}) {
  return status === 200 && isWhole && events === EVENTS;
}
