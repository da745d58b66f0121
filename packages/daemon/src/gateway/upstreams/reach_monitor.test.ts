import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {UpstreamHealth} from '@parsleywood/dispatch';
import type {SiteReplica} from '@parsleywood/forwarding';
import {
  PeerStage,
  ReachState,
  type PeerHeartbeat,
} from '@parsleywood/membership';
import {findFreePorts} from '@parsleywood/stand-ins';
import type {EventLog} from '../../host/event_log.js';
import {SystemClock} from '../../host/system_clock.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {PathTester} from './path_tester.js';
import {ReachMonitor} from './reach_monitor.js';
import type {UpdatePublisher} from '../fleet/update_publisher.js';

/** Longer than two tests and the interval between checks. */
const TEST_MS = 1_000;
/** Longer than a host without answers takes to doubt its paths and to test them. */
const DOUBT_MS = 3_000;

describe('ReachMonitor', () => {
  let peers: PeerHeartbeat[];
  let endings: boolean[];
  let monitor: ReachMonitor;
  let asked: number;
  let servers: Server[] = [];

  /** Starts servers that accept connections; returns their ports. */
  async function listen(answers: readonly boolean[]): Promise<number[]> {
    servers = answers.map(answersAny =>
      createServer(socket => {
        socket.on('error', () => undefined);
        socket.on('data', () => {
          if (answersAny) socket.write('HTTP/1.1 200 OK\r\n\r\n');
        });
      }),
    );
    const ports: number[] = [];
    for (const server of servers) {
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      ports.push((server.address() as AddressInfo).port);
    }
    return ports;
  }

  /** Starts a monitor whose upstreams all refuse connections, unless `ports` listen. */
  async function startMonitor(
    upstreams: number,
    ports?: readonly number[],
  ): Promise<void> {
    peers = [];
    endings = [];
    asked = 0;
    ports ??= await findFreePorts(upstreams);
    const entries = ports.map(port => ({
      id: `u${port}`,
      address: `127.0.0.1:${port}`,
      service: 'app',
      failureDomain: 'd',
    }));
    const replica = {
      upstreams: {list: () => entries},
      rules: {findService: () => ({name: 'app', healthPath: '/health'})},
    } as unknown as SiteReplica;
    monitor = new ReachMonitor(
      replica,
      new UpstreamHealth(),
      new PathTester(
        replica,
        {pathTests: {inc: () => asked++}} as unknown as GatewayMetrics,
        () => false,
        () => 0,
      ),
      {publishReach: () => undefined} as unknown as UpdatePublisher,
      new SystemClock(),
      {info: () => undefined, warn: () => undefined} as unknown as EventLog,
      {reachesUpstreams: {set: () => undefined}} as unknown as GatewayMetrics,
      () => peers,
      () => endings.push(monitor.isOutOfService),
    );
    monitor.start();
  }

  afterEach(() => {
    monitor.stop();
    for (const server of servers) server.close();
    servers = [];
  });

  function hearOf(reach: ReachState): void {
    peers = [{stage: PeerStage.READY, reach} as PeerHeartbeat];
  }

  it('ends stalled requests also when another host is found to serve later', async () => {
    await startMonitor(2);
    expect(await monitor.testReach()).to.equal(false);
    hearOf(ReachState.REACHED);
    await pause(TEST_MS);
    expect(endings).to.deep.equal([false, true]);
  });

  it('does not take paths that accept connections and discard all bytes for working', async () => {
    await startMonitor(2, await listen([false, false]));
    monitor.recordSend(0);
    await pause(DOUBT_MS);
    expect(monitor.state).to.equal(ReachState.CUT_OFF);
    hearOf(ReachState.REACHED);
    expect(monitor.isOutOfService).to.equal(true);
    monitor.recordAnswer();
    expect(monitor.isOutOfService).to.equal(false);
  });

  it('does not take a busy upstream for a lost path while another one answers', async () => {
    await startMonitor(2, await listen([false, true]));
    expect(await monitor.testReach()).to.equal(true);
  });

  it('does not refuse requests as upstreams are busy for all hosts', async () => {
    await startMonitor(2, await listen([false, false]));
    expect(await monitor.testReach()).to.equal(false);
    hearOf(ReachState.CUT_OFF);
    expect(monitor.findRefusal()).to.equal(undefined);
  });

  it('asks no upstream while answers come', async () => {
    await startMonitor(2, await listen([true, true]));
    for (let at = 0; at < 6; at++) {
      monitor.recordSend(0);
      await pause(TEST_MS / 4);
      monitor.recordAnswer();
      expect(await monitor.testReach()).to.equal(true);
    }
    expect(asked).to.equal(0);
  });

  for (const count of [0, 1]) {
    it(`does not claim to reach upstreams by a list of ${count}`, async () => {
      await startMonitor(count);
      hearOf(ReachState.CUT_OFF);
      await pause(TEST_MS);
      expect(monitor.state).to.equal(ReachState.UNKNOWN);
    });
  }
});
