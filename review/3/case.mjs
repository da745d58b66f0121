/**
 * Engines in trouble answer with bytes that never end: blank comments of an event stream.
 */
import {fork} from 'node:child_process';
import {createServer, request} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
  CannotRun,
  describeConfiguration,
  describeServer,
  Hosts,
  pause,
  Record,
  ROOT,
  runCase,
  Store,
} from '../lib/site.mjs';

const HOSTS = 3;
const ENGINES = 4;
/** How many answers without end the engine in trouble gives: all of them. */
const MANY = 1_000_000;
const APPS = 3;
const STREAMS_PER_S = 15;
const BOOKINGS_PER_S = 12;
const CALM_MS = 6_000;
const TROUBLE_MS = 25_000;
const WORK_MS = 40;
/** TimeoutMs of the route of bookings, and the time after it that the rule allows. */
const TIMEOUT_MS = 1_200;
const SLACK_MS = 500;
const FEW = 8;
/** Lag of this process itself beyond which its times mean nothing. */
const MOST_LAG_MS = 250;

const withTrouble = process.env.TROUBLE !== '0';
const folder = dirname(fileURLToPath(import.meta.url));

await runCase(async () => {
  const record = new Record(join(folder, 'record.txt'));
  const store = new Store();
  await store.start();
  const hosts = new Hosts(record, store);
  const engines = [];
  try {
    return await play(record, store, hosts, engines);
  } finally {
    for (const engine of engines) engine.kill('SIGKILL');
    await hosts.stop();
  }
});

async function play(record, store, hosts, engines) {
  const register = async (server, id, service, slots) => {
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${server.address().port}`;
    store.write(`servers/${id}`, describeServer(service, address, slots));
  };
  for (let at = 0; at < APPS; at++) {
    const id = `i-app-${at}`;
    const server = createSoundServer(id, response => {
      setTimeout(() => response.end('x'.repeat(800)), WORK_MS);
    });
    await register(server, id, 'millyard-app', 6);
  }
  for (let at = 0; at < ENGINES; at++) {
    const id = `i-llm-${at}`;
    const engine = fork(join(ROOT, 'review/lib/engine.mjs'), [id, 'comments']);
    engine.answers = 0;
    engines.push(engine);
    const port = await new Promise(resolve => {
      engine.on('message', message => {
        if (message.port !== undefined) resolve(message.port);
        if (message.soundId !== undefined) engine.answers++;
        if (message.endlessId === undefined) return;
        record.write(`${id} answers ${message.endlessId} without end`);
      });
    });
    store.write(
      `servers/${id}`,
      describeServer('kernel-llm', `127.0.0.1:${port}`, 11),
    );
  }
  store.write('op/config', describeConfiguration(1));
  await hosts.start(HOSTS);
  await pause(2_000);

  const lag = measureLag();
  const bookings = [];
  const streams = {};
  let sent = 0;
  const draw = () => hosts.list[Math.floor(Math.random() * HOSTS)];
  const streaming = setInterval(() => {
    const id = `s${String(sent++).padStart(6, '0')}`;
    void send(draw(), id, '/shift/', {
      'X-Parsleywood-Request-Deadline-Ms': 10_000,
      'X-Parsleywood-Model': 'm',
      'X-Parsleywood-Token-Counts': '4960,1292',
      'X-Parsleywood-Prompt-Prefix': `0a0b0c0d:40,${id.slice(1)}f:4920`,
    }).then(status => {
      streams[status] = (streams[status] ?? 0) + 1;
    });
  }, 1_000 / STREAMS_PER_S);
  const booking = setInterval(() => {
    const id = `b${String(sent++).padStart(6, '0')}`;
    const host = draw();
    const beganMs = performance.now();
    const one = {host: host.name, id, sentMs: record.now(), tookMs: Infinity};
    bookings.push(one);
    void send(host, id, '/bookings/', {
      'X-Parsleywood-Request-Deadline-Ms': 2_500,
    }).then(status => {
      one.tookMs = Math.round(performance.now() - beganMs);
      record.write(
        `${host.name} answered booking ${id}: ${status} after ${one.tookMs} ms`,
      );
    });
  }, 1_000 / BOOKINGS_PER_S);
  await pause(CALM_MS);
  const fromMs = record.now();
  // The engine that is used most.
  const [used] = [...engines].sort(
    (left, right) => right.answers - left.answers,
  );
  if (withTrouble) {
    used.send({endless: MANY});
    record.write('from now on one engine answers without end');
  }
  await pause(TROUBLE_MS);
  if (withTrouble) used.send({endless: 0});
  record.write('no further answer has no end');
  clearInterval(booking);
  clearInterval(streaming);
  await pause(12_000);
  const lagMs = lag.stop();
  store.stop();

  const counted = bookings.filter(({sentMs}) => sentMs >= fromMs);
  const late = counted.filter(({tookMs}) => tookMs > TIMEOUT_MS);
  const held = late.filter(({tookMs}) => tookMs > TIMEOUT_MS + SLACK_MS);
  const longest = Math.max(...counted.map(({tookMs}) => tookMs));
  record.write(`streams ended ${JSON.stringify(streams)}`);
  record.write(`this process lagged by ${lagMs} ms at most`);
  record.write(
    `${late.length} of ${counted.length} bookings had no answer at TimeoutMs (${TIMEOUT_MS} ms), ${held.length} of these none ${SLACK_MS} ms later; the longest took ${longest} ms`,
  );
  if (lagMs > MOST_LAG_MS) throw new CannotRun('this process lagged too much');
  const holds = held.length < FEW || held.length <= late.length / 2;
  record.write(holds ? 'the rule held' : 'the rule was broken');
  return holds;
}

function createSoundServer(id, answer) {
  return createServer((call, response) => {
    call.resume();
    call.on('end', () => {
      response.setHeader(
        'X-Parsleywood-Request-Id',
        call.headers['x-parsleywood-request-id'] ?? '',
      );
      response.setHeader('X-Parsleywood-Response-Stamp', `stamp-${id}`);
      answer(response);
    });
  });
}

function measureLag() {
  const STEP_MS = 20;
  let most = 0;
  let lastMs = performance.now();
  const timer = setInterval(() => {
    const nowMs = performance.now();
    most = Math.max(most, nowMs - lastMs - STEP_MS);
    lastMs = nowMs;
  }, STEP_MS);
  return {
    stop() {
      clearInterval(timer);
      return Math.round(most);
    },
  };
}

function send({front}, id, path, headers) {
  const [host, port] = front.split(':');
  return new Promise(resolve => {
    const sent = request(
      {
        host,
        port,
        method: 'POST',
        path: path + id,
        agent: false,
        headers: {
          Host: 'mill.example',
          'X-Parsleywood-Key': 'key-mill',
          'X-Parsleywood-Request-Id': id,
          ...headers,
        },
      },
      answer => {
        answer.resume();
        answer.on('end', () => resolve(answer.statusCode));
        answer.on('error', () => resolve('cut'));
      },
    );
    sent.on('error', error => resolve(error.code));
    sent.end(`content of ${id}`.padEnd(600, '.'));
  });
}
