import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import type {ClientGroup} from '../testing/client_group.js';
import {GatewayProcess} from '../testing/gateway_process.js';
import {HostileClients} from '../testing/hostile_clients.js';
import type {ProcessMeter} from '../testing/process_meter.js';

const MEMORY_MB = 250;
/** Share of the memory that the peak stays below. */
const PEAK_MB = 200;
const MAX_DESCRIPTORS = 600;
/** Connections to the upstream that are kept. */
const KEPT_DESCRIPTORS = 20;
const STAY_MS = 5_000;
const SAMPLE_INTERVAL_MS = 100;
const REST_MS = 30_000;
const GROWTH_MB = 10;

const MB = 1_048_576;
const LARGEST_BODY = 4 * MB;
const PIECE = Buffer.alloc(65_536, 'x');

function describeHead(lines: readonly string[], path = '/orders/1'): string {
  const head = [`POST ${path} HTTP/1.1`, 'Host: site.example'];
  return `${[...head, 'account-key: key-mill', ...lines].join('\r\n')}\r\n\r\n`;
}

function describeLength(
  bytes: number,
  sentBytes = bytes,
): Partial<ClientGroup> {
  const head = describeHead([`Content-Length: ${bytes}`]);
  return {head, bodyBytes: sentBytes};
}

function describeChunks(bytes: number, total: number): Partial<ClientGroup> {
  const chunk = `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
  const count = Math.max(1, Math.floor(PIECE.length / chunk.length));
  return {
    head: describeHead(['Transfer-Encoding: chunked']),
    piece: Buffer.from(chunk.repeat(count)),
    bodyBytes: total,
  };
}

const NOTHING = {bodyBytes: 0};
const ENDLESS = {bodyBytes: Infinity};
const UNREAD = {isReading: false, bodyBytes: 0};
const UNFINISHED = describeLength(LARGEST_BODY, LARGEST_BODY - 1);
const IDLE = {clients: 700, head: '', ...NOTHING};

const GROUPS: Readonly<Record<string, Partial<ClientGroup>>> = {
  'whole bodies of 4 MiB': describeLength(LARGEST_BODY),
  'whole bodies of 60 kB': {...describeLength(60_000), clients: 500},
  'bodies that lack a byte': UNFINISHED,
  'bodies that come piece by piece': {...UNFINISHED, isSlow: true},
  'bodies in large chunks': describeChunks(65_000, LARGEST_BODY - PIECE.length),
  'bodies in tiny chunks': describeChunks(16, LARGEST_BODY),
  'bodies far over the limit, announced': {
    ...describeLength(1_000 * MB),
    ...ENDLESS,
  },
  'bodies far over the limit, in chunks': describeChunks(60_000, Infinity),
  'heads that never end': {
    clients: 300,
    head: 'POST /orders/1 HTTP/1.1\r\nHost: site.example\r\n',
    piece: Buffer.from('x-more: yes\r\n'),
    ...ENDLESS,
    isSlow: true,
  },
  'idle connections': IDLE,
  'streams that are not read': {
    head: describeHead(['Content-Length: 0'], '/stream/endless'),
    ...UNREAD,
  },
  'whole answers that are not read': {
    head: describeHead(['Content-Length: 0'], '/orders/large'),
    ...UNREAD,
  },
};

describe('Clients that exhaust a host', () => {
  const gateway = new GatewayProcess({
    host: 'h1',
    failureDomain: 'a',
    seedPeers: [],
    logLevel: 'info',
    memoryMb: MEMORY_MB,
    maxDescriptors: MAX_DESCRIPTORS,
    bounds: {
      stopGraceMs: 4_000,
      retryRatio: 0.2,
      retrySlack: 10,
      retryWindowMs: 10_000,
      directoryTtlMs: 1_000,
    },
  });
  const clients = new HostileClients();
  let meter: ProcessMeter;
  let startMb = 0;
  let startDescriptors = 0;

  before(async () => {
    meter = await gateway.start();
    for (let call = 0; call < 200; call++) await gateway.call();
    startMb = meter.memoryMb;
    startDescriptors = meter.descriptors;
  });

  after(async () => {
    await gateway.stop();
  });

  async function expose(
    address: string,
    changes: Partial<ClientGroup>,
  ): Promise<void> {
    meter.reset();
    clients.open(address, {
      clients: 150,
      head: '',
      bodyBytes: 0,
      piece: PIECE,
      isSlow: false,
      isReading: true,
      ...changes,
    });
    for (let waited = 0; waited < STAY_MS; waited += SAMPLE_INTERVAL_MS) {
      await pause(SAMPLE_INTERVAL_MS);
      if (!gateway.isRunning) break;
      void meter.descriptors;
    }
    clients.leave();
    expect(gateway.isRunning).to.equal(true);
    let status = 0;
    await gateway.waitUntil(
      async () => (status = await gateway.call()) === 200,
    );
    const kept = startDescriptors + KEPT_DESCRIPTORS;
    await gateway.waitUntil(() => meter.descriptors <= kept);
    const found = {
      status,
      peakMb: Math.round(meter.peakMb),
      peakDescriptors: meter.peakDescriptors,
      keptDescriptors: meter.descriptors - startDescriptors,
    };
    if (process.env['SHOW_FIGURES']) console.log(found);
    expect(found.status).to.equal(200);
    expect(found.peakMb).to.be.below(PEAK_MB);
    expect(found.peakDescriptors).to.be.below(MAX_DESCRIPTORS);
    expect(found.keptDescriptors).to.be.at.most(KEPT_DESCRIPTORS);
  }

  for (const [title, group] of Object.entries(GROUPS)) {
    // Guards against hosts that end, or that keep what clients send and their sockets.
    it(`leave it alive and within its bounds: ${title}`, () =>
      expose(gateway.callers, group));
  }

  it('leave it alive and within its bounds while a stream runs', async () => {
    const stream = gateway.call('/stream/short');
    await expose(gateway.callers, UNFINISHED);
    expect(await stream).to.equal(200);
  });

  for (const port of ['directory', 'metrics'] as const) {
    it(`leave it alive and within its bounds at the ${port} port`, async () => {
      await expose(gateway[port], IDLE);
      await expose(gateway[port], {
        ...describeChunks(60_000, Infinity),
        clients: 100,
      });
    });
  }

  it('leave nothing behind', async () => {
    await pause(REST_MS);
    const grownMb = Math.round(meter.memoryMb - startMb);
    if (process.env['SHOW_FIGURES']) console.log({startMb, grownMb});
    expect(grownMb).to.be.at.most(GROWTH_MB);
  });
});
