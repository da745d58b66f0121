/** One answer at each host, three times, is a text without end in chunks of a letter. */
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setInterval, clearInterval} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {Traffic, Upstreams} from '../lib/engines.mjs';
import {
  describeConfiguration,
  Hosts,
  pause,
  Record,
  runCase,
  Store,
} from '../lib/site.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOSTS = 3;
const HEAD = 'Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n';
const UNIT = '1\r\nx\r\n';
const ROUNDS = 3;
const ROUND_MS = 7_000;
/** After this time the platform starts a process again that has ended. */
const RESTART_MS = 1_000;
const QUESTIONS_PER_S = 17;
const DIGESTS_PER_S = 1;
const BOOKINGS_PER_S = 2;
/** Closed connections that the rule allows. */
const MAX_CLOSED = 3;

await runCase(async () => {
  const record = new Record(join(FOLDER, 'record.txt'));
  const store = new Store();
  await store.start();
  const upstreams = new Upstreams(store, HEAD, UNIT);
  await upstreams.start();
  store.write('op/config', describeConfiguration(10));
  const hosts = new Hosts(record, () => store.address);
  await hosts.start(HOSTS);
  await pause(3_000);

  const traffic = new Traffic();
  let turn = 0;
  const next = () => hosts.list[turn++ % HOSTS];
  const timers = [
    setInterval(() => traffic.ask(next()), 1_000 / QUESTIONS_PER_S),
    setInterval(() => traffic.digest(next()), 1_000 / DIGESTS_PER_S),
    setInterval(() => traffic.book(next()), 1_000 / BOOKINGS_PER_S),
  ];
  await pause(4_000);
  const beganMs = performance.now();
  if (HAS_TROUBLE) upstreams.spoil('/ledger/');
  for (let round = 1; round <= ROUNDS; round++) {
    for (const host of hosts.list) traffic.audit(host);
    record.write('each host gets one long question');
    while (performance.now() < beganMs + round * ROUND_MS) {
      await pause(RESTART_MS);
      for (const host of hosts.list.filter(({ended}) => ended)) {
        host.ends = (host.ends ?? 0) + 1;
        hosts.spawn(host);
      }
    }
  }
  for (const timer of timers) clearInterval(timer);
  await pause(4_000);

  let closed = 0;
  for (const one of traffic.sent) {
    const {id, host, path, sentAtMs, endedAtMs, status} = one;
    const {hasLeft, isKept, isWhole, error} = one;
    const {id: server = 'nothing', isSound} = upstreams.runs.get(id) ?? {};
    const hasAnswer = isWhole || status !== undefined;
    const isClosed = isSound && isKept && !hasAnswer && !hasLeft;
    if (isClosed) closed++;
    record.write(
      `${isClosed ? 'CLOSED ' : ''}${host} ${path} sent ${Math.round(sentAtMs - beganMs)} ms after: ` +
        `${hasLeft ? 'client left' : (error ?? status)} after ${Math.round(endedAtMs - sentAtMs)} ms, ` +
        `ran on ${server}${isSound === false ? ' without end' : ''}`,
    );
  }
  const endless = [...upstreams.runs.values()].filter(run => !run.isSound);
  const ends = hosts.list.map(host => host.ends ?? 0);
  record.write(
    `${endless.length} of ${traffic.sent.length} answers were without end; processes ended by themselves: ` +
      `${ends.join(', ')} times; ${closed} requests on kept connections that sound servers ran were closed without an answer`,
  );
  traffic.stop();
  upstreams.stop();
  store.stop();
  await hosts.stop();
  return closed <= MAX_CLOSED;
});
