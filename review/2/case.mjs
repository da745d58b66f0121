/** One answer at each host is an event without end, in chunks of a line. */
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
const HEAD =
  'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n';
/** One line of an event; the blank line that ends the event never comes. */
const UNIT = '8\r\ndata: x\n\r\n';
const ENDLESS = '/shift/endless-';
const WATCHED_MS = 20_000;
const QUESTIONS_PER_S = 17;
const BOOKINGS_PER_S = 6;
/** `TimeoutMs` of the bookings' route, and what the rule adds. */
const TIMEOUT_MS = 1_200;
const SLACK_MS = 500;
/** Requests that must be late before the rule counts as broken. */
const MIN_LATE = 8;

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
    setInterval(() => traffic.book(next()), 1_000 / BOOKINGS_PER_S),
  ];
  await pause(4_000);
  const beganMs = performance.now();
  if (HAS_TROUBLE) upstreams.spoil(ENDLESS);
  for (const host of hosts.list) traffic.ask(host, ENDLESS);
  record.write('each host gets one question whose answer does not end');
  await pause(WATCHED_MS);
  for (const timer of timers) clearInterval(timer);
  await pause(4_000);

  let open = 0;
  let late = 0;
  for (const one of traffic.sent) {
    const {id, host, path, sentAtMs, endedAtMs, status, hasLeft, events} = one;
    const tookMs = endedAtMs - sentAtMs;
    const isBooking = path.startsWith('/bookings/');
    const isOpen = isBooking && tookMs > TIMEOUT_MS;
    const isLate = isBooking && tookMs > TIMEOUT_MS + SLACK_MS;
    if (isOpen) open++;
    if (isLate) late++;
    const {id: server = 'nothing', isSound} = upstreams.runs.get(id) ?? {};
    record.write(
      `${isLate ? 'LATE ' : ''}${host} ${path} sent ${Math.round(sentAtMs - beganMs)} ms after: ` +
        `${hasLeft ? 'client left' : status} after ${Math.round(tookMs)} ms, ${events} events, ` +
        `ran on ${server}${isSound === false ? ' without end' : ''}`,
    );
  }
  const endless = [...upstreams.runs.values()].filter(run => !run.isSound);
  record.write(
    `${endless.length} of ${traffic.sent.length} answers were without end; ${open} bookings had no answer at ` +
      `${TIMEOUT_MS} ms, of which ${late} had none ${SLACK_MS} ms later`,
  );
  traffic.stop();
  upstreams.stop();
  store.stop();
  await hosts.stop();
  return late < MIN_LATE || late * 2 <= open;
});
