/** A host that is cut off from the store learns of it from hosts that have just started. */
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setInterval, clearInterval} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {Client} from '../lib/client.mjs';
import {Proxy} from '../lib/proxy.mjs';
import {Service} from '../lib/service.mjs';
import {
  describeConfiguration,
  describeServer,
  Hosts,
  pause,
  Record,
  runCase,
  Store,
} from '../lib/site.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOSTS = 3;
/** Bounds of the site brindlecote-mill. */
const STABLE_WINDOW_MS = 3_000;
const DRAIN_MS = 2_000;
/** Added to each bound, in favour of the hosts. */
const MARGIN_MS = 200;
const CUT_MS = 4_000;
const DOWN_MS = 1_000;
const HEAR_MS = 1_500;
/** Time after its leaving for which the server still serves. */
const SERVES_ON_MS = 10_000;
const SEND_INTERVAL_MS = 40;

await runCase(async () => {
  const record = new Record(join(FOLDER, 'record.txt'));
  const now = () => performance.now();
  const store = new Store();
  await store.start();
  const paths = [];
  for (let at = 0; at < HOSTS; at++) {
    const path = new Proxy(store.address);
    await path.start();
    paths.push(path);
  }
  const runs = new Map();
  const services = [];
  for (const id of ['app-1', 'app-2', 'app-3']) {
    const service = new Service(id, (server, request) => {
      runs.set(request, server);
    });
    await service.start();
    services.push(service);
    store.write(
      `servers/${id}`,
      describeServer('millyard-app', service.address, 6),
    );
  }
  store.write('op/config', describeConfiguration(10));
  const hosts = new Hosts(record, at => paths[at].address);
  await hosts.start(HOSTS);
  await pause(4_000);

  const client = new Client();
  const sent = [];
  const send = () => {
    for (const host of hosts.list) {
      if (host.ended) continue;
      for (const [method, path] of [
        ['GET', '/bins/7'],
        ['POST', '/bookings/7'],
      ]) {
        const one = {host: host.name, method, sentAtMs: now()};
        sent.push(one);
        void client
          .send(host.front, {method, path})
          .then(answer => Object.assign(one, answer));
      }
    }
  };
  const timer = setInterval(send, SEND_INTERVAL_MS);
  await pause(1_000);

  const [first, second] = hosts.list;
  const [, , path] = paths;
  if (HAS_TROUBLE) {
    path.cut();
    record.write('host-2 is cut off from the store');
    await pause(500);
    for (const host of [first, second]) host.child.kill('SIGKILL');
    record.write('host-0 and host-1 are killed');
  } else await pause(500);
  await pause(500);
  store.remove('servers/app-3');
  const leftAtMs = now();
  record.write('confirmed: app-3 is gone; it serves on for some seconds');
  await pause(DOWN_MS - 500);
  if (HAS_TROUBLE) {
    for (const host of [first, second]) hosts.spawn(host);
    for (const host of [first, second]) await hosts.awaitReady(host);
  }
  // At least as long as the host needs to hear of the others.
  await pause(Math.max(HEAR_MS, leftAtMs - 1_000 + CUT_MS - now()));
  let healedAtMs = -Infinity;
  if (HAS_TROUBLE) {
    path.heal();
    healedAtMs = now();
    record.write('host-2 reaches the store again');
  }
  await pause(leftAtMs + SERVES_ON_MS - now());
  services[2].stop();
  const exitedAtMs = now();
  record.write('app-3 has exited');
  await pause(1_000);
  clearInterval(timer);
  await pause(3_000);

  const fromMs = Math.max(
    leftAtMs + DRAIN_MS + MARGIN_MS,
    healedAtMs + STABLE_WINDOW_MS + MARGIN_MS,
  );
  let broken = 0;
  let judged = 0;
  let cutOff = 0;
  for (const {host, method, sentAtMs, id, status} of sent) {
    const server = runs.get(id) ?? 'not run';
    const isBroken = sentAtMs > fromMs && server === 'app-3';
    if (sentAtMs > fromMs && host === 'host-2') judged++;
    if (isBroken) broken++;
    if (isBroken && method === 'POST' && status !== 200) cutOff++;
    const sinceMs = Math.round(sentAtMs - leftAtMs);
    record.write(
      `${isBroken ? 'BROKEN ' : ''}${host} ${method} sent ${sinceMs} ms after app-3 left: ${status}, ${server}`,
    );
  }
  const fromSinceMs = Math.round(fromMs - leftAtMs);
  const toSinceMs = Math.round(exitedAtMs - leftAtMs);
  record.write(
    `judged from ${fromSinceMs} to ${toSinceMs} ms after app-3 left: ${broken} of ${judged} requests at host-2 ran on it, of which ${cutOff} bookings were cut off`,
  );
  client.stop();
  for (const service of services) service.stop();
  for (const one of paths) one.stop();
  store.stop();
  await hosts.stop();
  return broken === 0;
});
