// A part of prompts crashes each server that begins to write an answer on it. Requests
// with that part come at all hosts, beside sound ones of the same caller and route.
import {spawn} from 'node:child_process';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {call, formatRequest} from '../lib-2/client.mjs';
import {IS_CALM, Record, runCase} from '../lib-2/record.mjs';
import {
  describeConfiguration,
  describeServer,
  freePort,
  Hosts,
  ip,
  pause,
  Store,
} from '../lib-2/site.mjs';

const SERVERS = 14;
const POISON = 'dead';
/** Sound requests of one caller, a second. */
const SOUND_PER_S = 4;
/** Requests with the part, a second. */
const POISONED_PER_S = 1;
/** Time after which a crashed server is back. */
const BACK_MS = 3_000;
const CALM_MS = 15_000;
const TROUBLE_MS = 50_000;
const STABLE_WINDOW_MS = 3_000;
const DEADLINE_MS = 10_000;

const record = new Record(import.meta.dirname);
const store = new Store();
const servers = [];
const begun = new Set();
/** Times at which servers crashed. */
const crashes = [];
const sound = [];
let hosts;
let hasStopped = false;

await runCase(record, run, () => {
  hasStopped = true;
  for (const {process: one} of servers) one.kill('SIGKILL');
  hosts?.stop();
  store.stop();
});

async function run() {
  await store.start();
  store.write('op/config', describeConfiguration());
  for (let at = 0; at < SERVERS; at++) {
    const address = ip(200 + at);
    const server = {id: `i-llm${at}`, address, port: await freePort(address)};
    servers.push(server);
    await start(server);
  }
  hosts = new Hosts(store.address);
  await hosts.start(3);
  await pause(4_000);
  const troubleAtMs = Date.now() + CALM_MS;
  const endMs = troubleAtMs + TROUBLE_MS;
  const calls = [];
  await Promise.all([
    send(SOUND_PER_S, Date.now(), endMs, number => {
      calls.push(sendSound(number));
    }),
    IS_CALM
      ? pause(CALM_MS + TROUBLE_MS)
      : send(POISONED_PER_S, troubleAtMs, endMs, number => {
          calls.push(sendPoisoned(number));
        }),
  ]);
  await Promise.all(calls);
  return judge(troubleAtMs, endMs);
}

function judge(troubleAtMs, endMs) {
  for (const {id, atMs, status, kind, isBegun} of sound) {
    const atS = ((atMs - troubleAtMs) / 1000).toFixed(2);
    record.note(
      `${id} sent at ${atS} s of the trouble: status ${status} ${kind}, ` +
        (isBegun ? 'begun' : 'not begun'),
    );
  }
  const lastMs = crashes[Math.min(crashes.length, 5) - 1] ?? troubleAtMs;
  const fromMs = lastMs + 2 * STABLE_WINDOW_MS;
  const before = sound.filter(({atMs}) => atMs < troubleAtMs);
  const after = sound.filter(({atMs}) => atMs >= fromMs && atMs < endMs);
  const shareOf = list =>
    list.filter(({isBegun}) => isBegun).length / Math.max(1, list.length);
  const [calm, later] = [shareOf(before), shareOf(after)];
  record.note(`crashes of servers: ${crashes.length}`);
  record.note(`begun before: ${calm.toFixed(2)} of ${before.length} sound`);
  record.note(`begun later: ${later.toFixed(2)} of ${after.length} sound`);
  if (before.length < 20 || after.length < 20 || calm < 0.9) {
    throw new Error('too few sound requests');
  }
  return later < calm / 2
    ? [
        `from ${2 * STABLE_WINDOW_MS} ms after the fifth crash (the last, if ` +
          `there are fewer), ${later.toFixed(2)} of the sound requests began ` +
          `at the first attempt, and ${calm.toFixed(2)} before`,
      ]
    : [];
}

async function send(perS, fromMs, untilMs, sendOne) {
  await pause(Math.max(0, fromMs - Date.now()));
  for (let number = 1; Date.now() < untilMs; number++) {
    sendOne(number);
    await pause(1_000 / perS);
  }
}

function callStream(number, id, parts) {
  const host = hosts.hosts[number % hosts.hosts.length];
  const tokens = parts.reduce((sum, [, count]) => sum + count, 0);
  const bytes = formatRequest('POST', '/stream/2f', {
    'X-Parsleywood-Request-Id': id,
    'X-Parsleywood-Key': 'key-mill',
    'X-Parsleywood-Request-Deadline-Ms': DEADLINE_MS,
    'X-Parsleywood-Model': 'm',
    'X-Parsleywood-Token-Counts': `${tokens},1292`,
    'X-Parsleywood-Prompt-Prefix': parts.map(one => one.join(':')).join(','),
  });
  return call(host, bytes, {limitMs: DEADLINE_MS});
}

/** Sound requests share the first part with the others. */
async function sendSound(number) {
  const id = `sound-${number}`;
  const atMs = Date.now();
  const answer = await callStream(number, id, [
    ['5c1e07a2', 40],
    [(0x10000000 + number).toString(16), 4_960],
  ]);
  const [, kind = ''] = /"kind":"(\w+)"/.exec(answer.body) ?? [];
  const isBegun = begun.has(id);
  sound.push({id, atMs, status: answer.headStatus, kind, isBegun});
}

/** No two are alike: each has a last part of its own. */
async function sendPoisoned(number) {
  const id = `poisoned-${number}`;
  const answer = await callStream(number, id, [
    ['5c1e07a2', 40],
    [POISON, 500],
    [(0x20000000 + number).toString(16), 4_460],
  ]);
  const [, kind = ''] = /"kind":"(\w+)"/.exec(answer.body) ?? [];
  record.note(`${id}: status ${answer.headStatus} ${kind}`);
}

async function start(server) {
  const {id, address, port} = server;
  const file = join(import.meta.dirname, '..', 'lib-2', 'model_server.mjs');
  const words = [file, id, address, String(port), POISON];
  const started = spawn(process.execPath, words, {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  server.process = started;
  started.on('exit', () => {
    if (hasStopped) return;
    crashes.push(Date.now());
    record.note(`${id} crashes`);
    setTimeout(() => {
      if (!hasStopped) void start(server);
    }, BACK_MS);
  });
  await new Promise(resolve => {
    started.stdout.on('data', bytes => {
      for (const line of String(bytes).trim().split('\n')) {
        const [word, request = ''] = line.split(' ');
        if (word === 'begin') begun.add(request);
        else resolve();
      }
    });
  });
  const entry = describeServer('llm', `${address}:${port}`);
  store.write(`servers/${id}`, entry);
}
