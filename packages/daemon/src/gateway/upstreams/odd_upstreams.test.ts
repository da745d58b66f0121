import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {
  DEFAULT_CALLER_LIMITS,
  RequestKind,
  type SiteSnapshot,
} from '@parsleywood/forwarding';
import {createRoute, createUpstream} from '@parsleywood/forwarding/testing';
import {findFreePorts} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import {Result} from 'true-myth';
import {request} from 'undici';
import {EventLog} from '../../host/event_log.js';
import {DEFAULT_DIALECT} from '../default_dialect.js';
import {EngineReservationClient} from './engine_reservation_client.js';
import {GatewayHost} from '../gateway_host.js';
import type {SiteSource} from '../site/site_source.js';

const LOCAL = '127.0.0.1';
const ODD_ADDRESSES = ['127.0.0.1:70000', '127.0.0.999:80', 'name:80', ''];
const ODD = ODD_ADDRESSES.map((address, at) =>
  createUpstream(`odd${at}`, {address}),
);
const CALLS = 24;
const LIMIT_MS = 1_000;
const SETTLE_MS = 300;
const WATCH_MS = 100;

/** Publishes one site that never changes, as an earlier version may pass it on. */
class FixedSource implements SiteSource {
  constructor(private readonly snapshot: SiteSnapshot) {}

  load(): ReturnType<SiteSource['load']> {
    return Promise.resolve(Result.ok(this.snapshot));
  }

  async watch(revision: number): ReturnType<SiteSource['watch']> {
    await pause(WATCH_MS);
    return Result.ok({epoch: 0, revision, updated: [], removed: []});
  }

  close(): void {
    // Nothing is open.
  }
}

describe('Upstreams whose address cannot be connected to', () => {
  let server: Server;
  let host: GatewayHost | undefined;

  before(async () => {
    server = createServer((_request, response) => response.end('sound'));
    await new Promise<void>(resolve => server.listen(0, LOCAL, resolve));
  });

  afterEach(async () => {
    await host?.stop();
    host = undefined;
  });

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  /** Starts a host before odd upstreams, and returns its address for callers. */
  async function start(
    hasSound: boolean,
    kind: RequestKind,
    odd = ODD,
  ): Promise<string> {
    const {port} = server.address() as AddressInfo;
    const sound = createUpstream('sound', {address: `${LOCAL}:${port}`});
    const snapshot = {
      epoch: 0,
      revision: 1,
      configuration: {
        version: 1,
        routes: [createRoute({kind, maxAttempts: 1})],
        services: [{name: 's'}],
        limits: DEFAULT_CALLER_LIMITS,
      },
      upstreams: hasSound ? [...odd, sound] : odd,
    };
    const ports = await findFreePorts(5);
    const [peers, callers = '', ready, directory, metrics] = ports.map(
      one => `${LOCAL}:${one}`,
    );
    const log = new EventLog({host: 'h', id: '1'}, 'error');
    const addresses = {peers, ready, directory, metrics};
    host = new GatewayHost(
      {
        host: 'h',
        failureDomain: 'd',
        callersAddress: callers,
        readinessAddress: addresses.ready ?? '',
        directoryAddress: addresses.directory ?? '',
        peersAddress: addresses.peers ?? '',
        metricsAddress: addresses.metrics ?? '',
        seedPeers: [],
        logLevel: 'error',
        bounds: {
          stopGraceMs: 1_000,
          retryRatio: 0.2,
          retrySlack: 100,
          retryWindowMs: 10_000,
          directoryTtlMs: 5_000,
        },
      },
      new FixedSource(snapshot),
      new EngineReservationClient('h', log),
      DEFAULT_DIALECT,
    );
    await host.start();
    await pause(SETTLE_MS);
    return callers;
  }

  /** Sends calls one after the other; returns their statuses and longest time. */
  async function callAll(
    callers: string,
  ): Promise<{statuses: number[]; longestMs: number}> {
    const statuses = new Set<number>();
    let longestMs = 0;
    for (let at = 0; at < CALLS; at++) {
      const startMs = performance.now();
      const answer = await request(`http://${callers}/${at}`, {
        headers: {
          host: 'a.example',
          'request-id': `r${at}`,
          'request-timeout-ms': String(LIMIT_MS),
        },
      });
      await answer.body.dump();
      statuses.add(answer.statusCode);
      longestMs = Math.max(longestMs, performance.now() - startMs);
    }
    return {statuses: [...statuses], longestMs};
  }

  for (const kind of [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT]) {
    it(`refuses calls at once that have no others (${kind})`, async () => {
      const {statuses, longestMs} = await callAll(await start(false, kind));
      expect(statuses).to.deep.equal([503]);
      expect(longestMs).to.be.below(LIMIT_MS / 2);
    });

    it(`leaves calls to the others (${kind})`, async () => {
      const {statuses, longestMs} = await callAll(await start(true, kind));
      expect(longestMs).to.be.below(LIMIT_MS / 2);
      expect(statuses).to.include(200);
      expect(statuses).to.not.include(504);
    });
  }

  it('answers at once when upstreams cannot even be ordered', async () => {
    const unnamed = JSON.parse('{"toString":0,"valueOf":0}') as string;
    const nameless = createUpstream(unnamed, {address: `${LOCAL}:1`});
    const callers = await start(false, RequestKind.NON_IDEMPOTENT, [nameless]);
    const {statuses, longestMs} = await callAll(callers);
    expect(statuses).to.deep.equal([503]);
    expect(longestMs).to.be.below(LIMIT_MS / 2);
  });
});
