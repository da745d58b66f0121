/**
 * A server asks for a rest by 503 with Retry-After. The platform's store is away for some
 * seconds meanwhile, and the entries of all servers lapse.
 */
import {createServer, request} from 'node:http';
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
  runCase,
  Store,
} from '../lib/site.mjs';

const HOSTS = 3;
const APPS = 3;
const ENGINES = 14;
const CALLS_PER_S = 20;
const REST_S = 20;
const STORE_DOWN_MS = 4_500;
const HEARTBEAT_MS = 1_200;
/** Entries are back within about two seconds. */
const RETURN_MS = 2_000;
const MARGIN_MS = 500;
const MOST = 2;
const WORK_MS = 40;

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
  /** Host to which the client sent each request. */
  const hostOf = new Map();
  /** Requests that reached the resting server: time, host and answer. */
  const arrivals = [];
  let restUntilMs = -Infinity;

  const resting = await startServer((call, response) => {
    const nowMs = record.now();
    const host = hostOf.get(call.headers['x-parsleywood-request-id']);
    const leftMs = restUntilMs - nowMs;
    arrivals.push({nowMs, host, rests: leftMs > 0});
    if (leftMs <= 0) {
      setTimeout(() => response.end('x'.repeat(800)), WORK_MS);
      return;
    }
    const seconds = (leftMs / 1_000).toFixed(3);
    record.write(
      `resting server: request of ${host}, 503 Retry-After ${seconds}`,
    );
    response
      .writeHead(503, {'X-Parsleywood-Not-Run': '1', 'Retry-After': seconds})
      .end();
  }, 'i-app-0');
  const servers = [
    {id: 'i-app-0', service: 'millyard-app', slots: 6, server: resting},
  ];
  for (let at = 1; at < APPS; at++) {
    const id = `i-app-${at}`;
    const server = await startServer((_call, response) => {
      setTimeout(() => response.end('x'.repeat(800)), WORK_MS);
    }, id);
    servers.push({id, service: 'millyard-app', slots: 6, server});
  }
  for (let at = 0; at < ENGINES; at++) {
    const id = `i-llm-${at}`;
    const server = await startServer(
      (_call, response) => response.writeHead(500).end(),
      id,
    );
    servers.push({id, service: 'kernel-llm', slots: 11, server});
  }
  const register = ({id, service, slots, server, born}) =>
    store.write(
      `servers/${id}`,
      describeServer(service, `127.0.0.1:${server.address().port}`, slots, {
        born,
      }),
    );
  for (const one of servers) {
    one.born = Date.now();
    register(one);
  }
  store.write('op/config', describeConfiguration(1));
  await hosts.start(HOSTS);
  await pause(2_000);

  const outcomes = {};
  let sent = 0;
  const timer = setInterval(
    () => {
      const host = hosts.list[sent % HOSTS];
      const id = `c${String(sent++).padStart(6, '0')}`;
      hostOf.set(id, host.name);
      void call(host, id).then(status => {
        outcomes[status] = (outcomes[status] ?? 0) + 1;
      });
    },
    1_000 / (CALLS_PER_S * HOSTS),
  );
  // All machines are in touch.
  await pause(4_000);

  restUntilMs = record.now() + REST_S * 1_000;
  record.write(`server i-app-0 is full for ${REST_S} s`);
  await pause(3_000);
  if (withTrouble) {
    store.goDown();
    record.write('store is down');
    // Leases run out after three check-ins that the store did not take.
    await pause(3 * HEARTBEAT_MS);
    for (const {id} of servers) store.remove(`servers/${id}`);
    await pause(STORE_DOWN_MS - 3 * HEARTBEAT_MS);
    store.comeBack();
    record.write('store is back; the entries of all servers have lapsed');
    // The resting server is the last to be back.
    const order = [...servers.slice(1), servers[0]];
    for (const one of order) {
      await pause(RETURN_MS / (order.length + 1));
      register(one);
      record.write(`server ${one.id} is listed again`);
    }
  } else await pause(STORE_DOWN_MS + RETURN_MS);
  await pause(Math.max(0, restUntilMs - record.now()));
  clearInterval(timer);
  await pause(1_500);

  let holds = true;
  for (const {name} of hosts.list) {
    const own = arrivals.filter(({host, rests}) => host === name && rests);
    const [first] = own;
    if (first === undefined) {
      record.write(`${name}: no request was turned away`);
      continue;
    }
    const late = own.filter(({nowMs}) => nowMs > first.nowMs + MARGIN_MS);
    record.write(
      `${name}: ${late.length} requests reached the server in its rest, ${MOST} are allowed`,
    );
    if (late.length > MOST) holds = false;
  }
  record.write(`clients got ${JSON.stringify(outcomes)}`);
  record.write(holds ? 'the rule held' : 'the rule was broken');
  store.stop();
  for (const {server} of servers) {
    server.closeAllConnections();
    server.close();
  }
  return holds;
}

function startServer(answer, id) {
  const server = createServer((call, response) => {
    call.resume();
    call.on('end', () => {
      response.setHeader(
        'X-Parsleywood-Request-Id',
        call.headers['x-parsleywood-request-id'] ?? '',
      );
      response.setHeader('X-Parsleywood-Response-Stamp', `stamp-${id}`);
      const expected = call.headers['x-parsleywood-expect-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, {'X-Parsleywood-Not-Run': '1'}).end();
      } else answer(call, response);
    });
  });
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

function call({front}, id) {
  const [host, port] = front.split(':');
  return new Promise(resolve => {
    const sent = request(
      {
        host,
        port,
        path: `/bins/${id}`,
        agent: false,
        headers: {
          Host: 'mill.example',
          'X-Parsleywood-Key': 'key-mill',
          'X-Parsleywood-Request-Id': id,
          'X-Parsleywood-Request-Deadline-Ms': 2_500,
        },
      },
      answer => {
        answer.resume();
        answer.on('end', () => resolve(answer.statusCode));
        answer.on('error', () => resolve('cut'));
      },
    );
    sent.on('error', error => resolve(error.code));
    sent.end();
  });
}
