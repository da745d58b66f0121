/**
 * Engines in trouble answer a request now and then with a body that never ends, in chunks of
 * one byte. Other servers are sound, and clients use them on kept connections.
 */
import {fork} from 'node:child_process';
import {Agent, createServer, request} from 'node:http';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
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
const APPS = 3;
const STREAMS_PER_S = 8;
/** Clients of each machine that read bins on connections that they keep. */
const READERS = 10;
const READ_PAUSE_MS = 100;
const WORK_MS = 60;
const CALM_MS = 6_000;
/** Answers without end, and the time from one to the next. */
const ANSWERS = 10;
const ANSWER_EACH_MS = 4_500;
/** The platform starts a process again that has ended. */
const RESTART_MS = 1_000;
const STABLE_MS = 3_000;
/** The rules: requests lost, and machines on which processes ended so often. */
const MOST = 3;
const MACHINES = 2;
const ENDS = 3;

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
  const counts = {endless: 0, read: 0, lost: 0, lostInTouch: 0, ends: 0};
  /** Requests that a sound server has got. */
  const passedOn = new Set();
  for (let at = 0; at < APPS; at++) {
    const id = `i-app-${at}`;
    const server = createServer((call, response) => {
      call.resume();
      call.on('end', () => {
        const requestId = call.headers['x-parsleywood-request-id'] ?? '';
        passedOn.add(requestId);
        response.setHeader('X-Parsleywood-Request-Id', requestId);
        response.setHeader('X-Parsleywood-Response-Stamp', `stamp-${id}`);
        setTimeout(() => response.end('x'.repeat(800)), WORK_MS);
      });
    });
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${server.address().port}`;
    store.write(`servers/${id}`, describeServer('millyard-app', address, 6));
  }
  for (let at = 0; at < ENGINES; at++) {
    const id = `i-llm-${at}`;
    const engine = fork(join(ROOT, 'review/lib/engine.mjs'), [id, 'chunks']);
    engines.push(engine);
    engine.answers = 0;
    const port = await new Promise(resolve => {
      engine.on('message', ({port: found, soundId, endlessId}) => {
        if (found !== undefined) resolve(found);
        if (soundId !== undefined) engine.answers++;
        if (endlessId === undefined) return;
        record.write(`${id} answers ${endlessId} without end`);
        counts.endless++;
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

  let isOver = false;
  let sent = 0;
  for (const host of hosts.list) {
    const watch = () => {
      host.child.on('exit', () => {
        if (isOver) return;
        counts.ends++;
        host.ends++;
        setTimeout(() => {
          if (isOver) return;
          hosts.spawn(host);
          host.startedAtMs = record.now();
          watch();
        }, RESTART_MS);
      });
    };
    host.startedAtMs = -Infinity;
    host.ends = 0;
    watch();
  }
  /** Reads bins again and again at one machine, on one connection while it lasts. */
  const readBins = async host => {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    while (!isOver) {
      const id = `r${String(sent++).padStart(6, '0')}`;
      const wasInTouch = record.now() - host.startedAtMs > STABLE_MS;
      const answer = await send(host, id, 'GET', '/bins/', agent, {
        'X-Parsleywood-Request-Deadline-Ms': 2_500,
      });
      counts.read++;
      if (answer.status === undefined && answer.wasKept && passedOn.has(id)) {
        counts.lost++;
        if (wasInTouch) counts.lostInTouch++;
        record.write(
          `${host.name} closed the kept connection of ${id} without an answer (${answer.error})`,
        );
      }
      await pause(READ_PAUSE_MS);
    }
    agent.destroy();
  };
  const readers = hosts.list.flatMap(host =>
    Array.from({length: READERS}, () => readBins(host)),
  );
  const streams = {};
  const streaming = setInterval(() => {
    const id = `s${String(sent++).padStart(6, '0')}`;
    const host = hosts.list[Math.floor(Math.random() * HOSTS)];
    void send(host, id, 'POST', '/digest/', false, {
      'X-Parsleywood-Request-Deadline-Ms': 10_000,
      'X-Parsleywood-Model': 'm',
      'X-Parsleywood-Token-Counts': '45000,780',
      'X-Parsleywood-Prompt-Prefix': `0a0b0c0d:40,${id.slice(1)}f:44960`,
    }).then(({status, error}) => {
      const key = status ?? error;
      streams[key] = (streams[key] ?? 0) + 1;
    });
  }, 1_000 / STREAMS_PER_S);
  await pause(CALM_MS);
  for (let at = 0; at < ANSWERS; at++) {
    // An engine that is in use: the one that had most requests of late.
    const [used] = [...engines].sort(
      (left, right) => right.answers - left.answers,
    );
    for (const engine of engines) engine.answers = 0;
    if (withTrouble) {
      for (const engine of engines)
        engine.send({endless: engine === used ? 1 : 0});
    }
    await pause(ANSWER_EACH_MS);
  }
  isOver = true;
  clearInterval(streaming);
  await Promise.all(readers);
  store.stop();
  record.write(`streams ended ${JSON.stringify(streams)}`);
  const ends = hosts.list
    .map(({name, ends: times}) => `${name} ${times}`)
    .join(', ');
  record.write(`processes ended by themselves ${counts.ends} times: ${ends}`);
  record.write(
    `of ${counts.read} reads ${counts.lost} that were passed on to a sound server lost their kept connection, ${counts.lostInTouch} of them at machines in touch; ${MOST} are allowed`,
  );
  const machines = hosts.list.filter(host => host.ends >= ENDS).length;
  record.write(
    `${counts.endless} answers had no end; on ${machines} machines processes ended ${ENDS} times or more`,
  );
  const holds = machines < MACHINES && counts.lostInTouch <= MOST;
  record.write(holds ? 'the rule held' : 'the rule was broken');
  return holds;
}

function send({front}, id, method, path, agent, headers) {
  const [host, port] = front.split(':');
  return new Promise(resolve => {
    const sent = request(
      {
        host,
        port,
        method,
        path: path + id,
        agent,
        headers: {
          Host: 'mill.example',
          'X-Parsleywood-Key': 'key-mill',
          'X-Parsleywood-Request-Id': id,
          ...headers,
        },
      },
      answer => {
        answer.resume();
        answer.on('end', () => resolve({status: answer.statusCode}));
        answer.on('error', error => resolve({error: error.code}));
      },
    );
    sent.on('error', error =>
      resolve({error: error.code, wasKept: sent.reusedSocket}),
    );
    sent.end(
      method === 'POST' ? `content of ${id}`.padEnd(11_000, '.') : undefined,
    );
  });
}
