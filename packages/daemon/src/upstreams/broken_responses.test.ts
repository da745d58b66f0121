import {setTimeout as pause} from 'node:timers/promises';
import {ExecutionStatus} from '@parsleywood/errors';
import {createUpstream} from '@parsleywood/forwarding/testing';
import {
  describeBrokenResponses,
  type RawResponse,
  RawServer,
} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import {PlatformClient} from '../control/platform_client.js';
import {StatusClient} from '../gateway/callers/status_client.js';
import {EventLog} from '../host/event_log.js';
import type {HostMetrics} from '../host/host_metrics.js';
import type {SiteView} from '../host/site_view.js';
import {SystemClock} from '../host/system_clock.js';
import type {ServiceCall} from '../callers/service_call.js';
import type {EngineTraffic} from './engine_traffic.js';
import {LoadFeed} from './load_feed.js';
import {PlacementClient} from './placement_client.js';
import {ReservationClient} from './reservation_client.js';
import {ServiceClient} from './service_client.js';
import {UpstreamControl} from './upstream_control.js';
import {UpstreamPools} from './upstream_pools.js';

const NAME = 'upstream-1';
const LIMIT_MS = 1_000;
/** Time in which an upstream that is new in the list has been probed. */
const FIRST_PROBE_MS = 400;
/** Means something to each reader. */
const BODY = JSON.stringify({
  ...{fencing: 1, role: 'prefill', loads: []},
  ...{key: 'k', revision: 7, value: 'v'},
  ...{incarnation: 'i', atMs: 0, sequence: 1},
});
const CALL = {
  ...{service: 's', method: 'GET', target: '/', account: 'a', requestId: 'r'},
  ...{contentType: '', idempotencyKey: '', body: Buffer.alloc(0)},
} as unknown as ServiceCall;
const LOG = new EventLog({host: 'h', id: '1'}, 'error');
const NO_COUNTS = {
  loadPolls: {inc: () => undefined},
  platformCalls: {inc: () => undefined},
} as unknown as HostMetrics;

/** Reads one response; returns whether it was taken for one. */
type Reader = (address: string, pools: UpstreamPools) => Promise<boolean>;

const READERS: Readonly<Record<string, Reader>> = {
  'a call of a service': async (address, pools) => {
    const client = new ServiceClient(pools);
    const result = await client.send(CALL, address, LIMIT_MS);
    // It proves nothing: the call may have run.
    if (result.isErr) {
      expect(result.error.ran).to.equal(ExecutionStatus.UNKNOWN);
    }
    return result.isOk;
  },
  'a reservation': async (address, pools) => {
    const client = new ReservationClient('h/1', createSite(address), pools);
    return client.reserve(NAME, 'reservation-1', 10, LIMIT_MS);
  },
  'an order of placement': async (address, pools) => {
    const client = new PlacementClient(createSite(address), pools);
    const order = {} as Parameters<PlacementClient['order']>[1];
    return (await client.order(NAME, order).catch(() => undefined)) === true;
  },
  'the state of placement': async (address, pools) => {
    const client = new PlacementClient(createSite(address), pools);
    return (await client.read(NAME).catch(() => undefined)) !== undefined;
  },
  'a probe': async (address, pools) => {
    const listener = {
      onUpstreamsChanged: () => undefined,
      onUpstreamNews: () => undefined,
    };
    const clock = new SystemClock();
    const site = createSite(address);
    const control = new UpstreamControl(clock, site, pools, LOG, 1, listener);
    const listed = {failureDomain: 'd', serves: 's', state: 'live'} as const;
    const upstream = {name: NAME, kind: 'engine', address, ...listed} as const;
    control.takeList({upstreams: [upstream]}, 1);
    await pause(FIRST_PROBE_MS);
    control.stop();
    return control.isUsable(NAME);
  },
  'a report of load': async (address, pools) => {
    let reports = 0;
    const traffic = {observe: () => reports++} as unknown as EngineTraffic;
    const clock = new SystemClock();
    const isUsable = (): boolean => true;
    const parts = [traffic, isUsable, NO_COUNTS] as const;
    const feed = new LoadFeed(clock, createSite(address), pools, ...parts);
    await feed.hasRestarted(NAME);
    return reports > 0;
  },
  'a published value': readValue,
  'a value that is not published': readValue,
  'a control call of a gateway': async address => {
    const client = new StatusClient(LOG, 'failed', 'leaving');
    const call = {method: 'DELETE', path: '/'} as const;
    const status = await client.send(createUpstream(NAME, {address}), call);
    return status !== undefined;
  },
};

/** Statuses that are not 200. */
const STATUSES: Readonly<Record<string, number>> = {
  'a value that is not published': 404,
};

describe('Response that breaks off or is none', () => {
  let server: RawServer;
  let pools: UpstreamPools;

  beforeEach(() => {
    pools = new UpstreamPools();
  });

  afterEach(async () => {
    await pools.close();
    server.stop();
  });

  /** Lets a reader read a response; returns whether it was taken for one. */
  async function isTaken(
    read: Reader,
    response: RawResponse,
  ): Promise<boolean> {
    server = RawServer.answering(response);
    return read(new URL(await server.start()).host, pools);
  }

  for (const [name, read] of Object.entries(READERS)) {
    const status = STATUSES[name] ?? 200;

    it(`is told from one that lasts until the connection ends (${name})`, async () => {
      const bytes = `HTTP/1.1 ${status}\r\n\r\n${BODY}`;
      expect(await isTaken(read, {bytes, isReset: false})).to.equal(true);
    });

    for (const [fault, response] of describeBrokenResponses(status, BODY)) {
      it(`is taken for none: ${fault} (${name})`, async () => {
        expect(await isTaken(read, response)).to.equal(false);
      });
    }
  }
});

async function readValue(address: string): Promise<boolean> {
  const client = new PlatformClient(`http://${address}`, NO_COUNTS);
  const {isOk} = await client.read('k');
  await client.close();
  return isOk;
}

function createSite(address: string): SiteView {
  const listed = {name: NAME, kind: 'engine', address};
  const site = {upstream: () => listed, allUpstreams: () => [listed]};
  return site as unknown as SiteView;
}
