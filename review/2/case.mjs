/**
 * A client sends prompts of a million tokens as they come, each token in a chunk of its own.
 * Other clients read from sound servers on kept connections.
 */
import {readFileSync} from 'node:fs';
import {Agent, createServer, request} from 'node:http';
import {connect} from 'node:net';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
  describeConfiguration,
  describeServer,
  Hosts,
  pause,
  Record,
  runCase,
  Store,
} from '../lib/site.mjs';

const HOSTS = 3;
const ENGINES = 4;
const EVENTS = 20;
const EVENT_MS = 45;
const APPS = 3;
/** Clients of each machine that read bins on connections that they keep. */
const READERS = 10;
const READ_PAUSE_MS = 100;
const WORK_MS = 60;
const CALM_MS = 6_000;
/** Prompts, one machine after the other, and the time from one to the next. */
const PROMPTS = 9;
const PROMPT_EACH_MS = 6_000;
const TOKENS = 1_000_000;
const TOKEN = 'word';
const TOKENS_AT_ONCE = 10_000;
const LIMIT_MS = 15_000;
/** The platform kills a process that exceeds its memory, and starts again what has ended. */
const MEMORY_MB = 350;
const MEMORY_CHECK_MS = 50;
const RESTART_MS = 1_000;
const STABLE_MS = 3_000;
/** The rules: requests lost, and machines on which processes ended so often. */
const MOST = 3;
const MACHINES = 2;
const ENDS = 3;

/** Without trouble the same prompts come with a length. */
const withTrouble = process.env.TROUBLE !== '0';
const folder = dirname(fileURLToPath(import.meta.url));

await runCase(async () => {
  const record = new Record(join(folder, 'record.txt'));
  const store = new Store();
  await store.start();
  const hosts = new Hosts(record, store);
  try {
    return await play(record, store, hosts);
  } finally {
    await hosts.stop();
  }
});

async function play(record, store, hosts) {
  const counts = {read: 0, lost: 0, lostInTouch: 0, ends: 0};
  /** Requests that a sound server has got. */
  const passedOn = new Set();
  const addServer = async (id, service, slots, answer) => {
    const server = createServer((call, response) => {
      let bytes = 0;
      call.on('data', chunk => {
        bytes += chunk.length;
      });
      call.on('end', () => {
        const requestId = call.headers['x-parsleywood-request-id'] ?? '';
        passedOn.add(requestId);
        response.setHeader('X-Parsleywood-Request-Id', requestId);
        response.setHeader('X-Parsleywood-Response-Stamp', `stamp-${id}`);
        if (call.url === '/order') response.end('{"Free":1}');
        else answer(response, requestId, bytes);
      });
    });
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${server.address().port}`;
    store.write(`servers/${id}`, describeServer(service, address, slots));
  };
  for (let at = 0; at < APPS; at++) {
    await addServer(`i-app-${at}`, 'millyard-app', 6, response => {
      setTimeout(() => response.end('x'.repeat(800)), WORK_MS);
    });
  }
  for (let at = 0; at < ENGINES; at++) {
    const id = `i-llm-${at}`;
    await addServer(id, 'kernel-llm', 11, (response, requestId, bytes) => {
      record.write(`${id} runs ${requestId}, ${bytes} bytes`);
      answerEvents(response);
    });
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
  const limiting = setInterval(() => {
    for (const host of hosts.list) {
      const megabytes = readMegabytes(host.child.pid);
      if (megabytes <= MEMORY_MB || host.ended) continue;
      record.write(
        `${host.name} has ${megabytes} MB of ${MEMORY_MB}: the platform kills it`,
      );
      host.child.kill('SIGKILL');
    }
  }, MEMORY_CHECK_MS);
  /** Reads bins again and again at one machine, on one connection while it lasts. */
  const readBins = async host => {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    while (!isOver) {
      const id = `r${String(sent++).padStart(6, '0')}`;
      const wasInTouch = record.now() - host.startedAtMs > STABLE_MS;
      const answer = await read(host, id, agent);
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
  await pause(CALM_MS);
  for (let at = 0; at < PROMPTS; at++) {
    const host = hosts.list[at % HOSTS];
    const id = `p${String(sent++).padStart(6, '0')}`;
    record.write(
      `client sends ${id} to ${host.name}: ${TOKENS} tokens, ${withTrouble ? 'in chunks' : 'with a length'}`,
    );
    void sendPrompt(host, id).then(status => {
      record.write(`${host.name} answered ${id}: ${status}`);
    });
    await pause(PROMPT_EACH_MS);
  }
  isOver = true;
  clearInterval(limiting);
  await Promise.all(readers);
  store.stop();
  const ends = hosts.list
    .map(({name, ends: times}) => `${name} ${times}`)
    .join(', ');
  record.write(`processes ended by themselves ${counts.ends} times: ${ends}`);
  record.write(
    `of ${counts.read} reads ${counts.lost} that were passed on to a sound server lost their kept connection, ${counts.lostInTouch} of them at machines in touch; ${MOST} are allowed`,
  );
  const machines = hosts.list.filter(host => host.ends >= ENDS).length;
  record.write(`on ${machines} machines processes ended ${ENDS} times or more`);
  const holds = machines < MACHINES && counts.lostInTouch <= MOST;
  record.write(holds ? 'the rule held' : 'the rule was broken');
  return holds;
}

/** Memory of a process that is resident; 0 if it has ended. */
function readMegabytes(pid) {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Math.round(
      Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) / 1_024,
    );
  } catch {
    return 0;
  }
}

function answerEvents(response) {
  let sent = 0;
  const write = () => {
    if (response.destroyed) return;
    if (sent === 0)
      response.writeHead(200, {'Content-Type': 'text/event-stream'});
    sent++;
    response.write(`id: ${sent}\ndata: text ${sent}\n\n`);
    if (sent < EVENTS) setTimeout(write, EVENT_MS);
    else response.end();
  };
  write();
}

function read({front}, id, agent) {
  const [host, port] = front.split(':');
  return new Promise(resolve => {
    const sent = request(
      {
        host,
        port,
        path: `/bins/${id}`,
        agent,
        headers: {
          Host: 'mill.example',
          'X-Parsleywood-Key': 'key-mill',
          'X-Parsleywood-Request-Id': id,
          'X-Parsleywood-Request-Deadline-Ms': 2_500,
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
    sent.end();
  });
}

/** Sends a prompt on a connection of its own; returns the status of its answer. */
function sendPrompt({front}, id) {
  const [host, port] = front.split(':');
  const size = withTrouble
    ? 'Transfer-Encoding: chunked'
    : `Content-Length: ${TOKENS * TOKEN.length}`;
  const piece = withTrouble
    ? `${TOKEN.length.toString(16)}\r\n${TOKEN}\r\n`
    : TOKEN;
  const several = piece.repeat(TOKENS_AT_ONCE);
  return new Promise(resolve => {
    const socket = connect(Number(port), host);
    let text = '';
    const timer = setTimeout(() => socket.destroy(), LIMIT_MS);
    socket.on('data', bytes => {
      text += bytes.toString('latin1');
      if (text.endsWith('0\r\n\r\n') || /^HTTP\/1.1 [45]/.test(text))
        socket.end();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 'none');
    });
    socket.write(
      `POST /ledger/${id} HTTP/1.1\r\nHost: mill.example\r\nX-Parsleywood-Key: key-mill\r\n` +
        `X-Parsleywood-Request-Id: ${id}\r\nX-Parsleywood-Request-Deadline-Ms: ${LIMIT_MS}\r\n` +
        `X-Parsleywood-Model: m\r\nX-Parsleywood-Token-Counts: ${TOKENS},600\r\n` +
        `X-Parsleywood-Prompt-Prefix: 0a0b0c0d:40,${id.slice(1)}f:${TOKENS - 40}\r\n${size}\r\n\r\n`,
    );
    let left = TOKENS / TOKENS_AT_ONCE;
    const write = () => {
      while (left > 0 && !socket.destroyed) {
        left--;
        if (!socket.write(several)) {
          socket.once('drain', write);
          return;
        }
      }
      if (withTrouble) socket.write('0\r\n\r\n');
    };
    write();
  });
}
