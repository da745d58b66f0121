/**
 * A server in need names its Server-Limit in all its answers. The platform's store is away
 * for some seconds meanwhile, and the entries of all servers lapse.
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
/** Requests a second that the server in need takes, and how long it says so. */
const LIMIT = 0.5;
const LIMITED_S = 20;
const STORE_DOWN_MS = 4_500;
const HEARTBEAT_MS = 1_200;
/** Entries are back within about two seconds. */
const RETURN_MS = 2_000;
/** The rule: from StableWindowMs after the first answer that named it, in some 4 s. */
const STABLE_MS = 3_000;
const WINDOW_MS = 4_000;
const MARGIN_MS = 500;
const MOST = 1.5 * LIMIT * (WINDOW_MS / 1_000) + 5;
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
  /** Requests that reached the server in need: time and host. */
  const arrivals = [];
  /** Time at which each host had passed on the first answer with a limit. */
  const toldAtMs = new Map();
  let limitedUntilMs = -Infinity;

  const limited = await startServer((call, response) => {
    const nowMs = record.now();
    const host = hostOf.get(call.headers['x-parsleywood-request-id']);
    setTimeout(() => {
      if (record.now() < limitedUntilMs)
        response.setHeader('Server-Limit', LIMIT.toFixed(1));
      response.end('x'.repeat(800));
    }, WORK_MS);
    if (nowMs >= limitedUntilMs) return;
    arrivals.push({nowMs, host});
    record.write(`limited server: request of ${host}`);
  }, 'i-app-0');
  const servers = [
    {id: 'i-app-0', service: 'millyard-app', slots: 6, server: limited},
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
      void call(host, id).then(({status, limit}) => {
        outcomes[status] = (outcomes[status] ?? 0) + 1;
        if (limit !== undefined && !toldAtMs.has(host.name))
          toldAtMs.set(host.name, record.now());
      });
    },
    1_000 / (CALLS_PER_S * HOSTS),
  );
  // All machines are in touch.
  await pause(4_000);

  limitedUntilMs = record.now() + LIMITED_S * 1_000;
  record.write(
    `server i-app-0 names Server-Limit ${LIMIT.toFixed(1)} for ${LIMITED_S} s`,
  );
  await pause(5_000);
  if (withTrouble) {
    store.goDown();
    record.write('store is down');
    // Leases run out after three check-ins that the store did not take.
    await pause(3 * HEARTBEAT_MS);
    for (const {id} of servers) store.remove(`servers/${id}`);
    await pause(STORE_DOWN_MS - 3 * HEARTBEAT_MS);
    store.comeBack();
    record.write('store is back; the entries of all servers have lapsed');
    // The limited server is the last to be back.
    const order = [...servers.slice(1), servers[0]];
    for (const one of order) {
      await pause(RETURN_MS / (order.length + 1));
      register(one);
      record.write(`server ${one.id} is listed again`);
    }
  } else await pause(STORE_DOWN_MS + RETURN_MS);
  await pause(Math.max(0, limitedUntilMs - record.now()));
  clearInterval(timer);
  await pause(1_500);

  const firstMs = Math.min(...toldAtMs.values());
  const counted = arrivals
    .filter(({nowMs}) => nowMs >= firstMs + STABLE_MS)
    .filter(
      ({nowMs, host}) => nowMs >= (toldAtMs.get(host) ?? Infinity) + MARGIN_MS,
    );
  const most = Math.max(
    0,
    ...counted.map(
      ({nowMs: fromMs}) =>
        counted.filter(
          ({nowMs}) => nowMs >= fromMs && nowMs < fromMs + WINDOW_MS,
        ).length,
    ),
  );
  const holds = most <= MOST;
  record.write(
    `${most} requests reached the server in some ${WINDOW_MS / 1_000} s, ${MOST} are allowed`,
  );
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
        answer.on('end', () =>
          resolve({
            status: answer.statusCode,
            limit: answer.headers['server-limit'],
          }),
        );
        answer.on('error', () => resolve({status: 'cut'}));
      },
    );
    sent.on('error', error => resolve({status: error.code}));
    sent.end();
  });
}
