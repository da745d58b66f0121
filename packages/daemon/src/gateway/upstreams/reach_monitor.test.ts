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
import {ReachMonitor} from './reach_monitor.js';
import type {UpdatePublisher} from '../fleet/update_publisher.js';

/** Longer than two tests and the interval between checks. */
const TEST_MS = 1_000;

describe('ReachMonitor', () => {
  let peers: PeerHeartbeat[];
  let endings: boolean[];
  let monitor: ReachMonitor;

  /** Starts a monitor whose upstreams all refuse connections. */
  async function startMonitor(upstreams: number): Promise<void> {
    peers = [];
    endings = [];
    const ports = await findFreePorts(upstreams);
    const entries = ports.map(port => ({
      id: `u${port}`,
      address: `127.0.0.1:${port}`,
      service: 'app',
      failureDomain: 'd',
    }));
    monitor = new ReachMonitor(
      {upstreams: {list: () => entries}} as unknown as SiteReplica,
      new UpstreamHealth(),
      {publishReach: () => undefined} as unknown as UpdatePublisher,
      new SystemClock(),
      {info: () => undefined, warn: () => undefined} as unknown as EventLog,
      {reachesUpstreams: {set: () => undefined}} as unknown as GatewayMetrics,
      () => peers,
      () => 0,
      () => endings.push(monitor.isOutOfService),
    );
    monitor.start();
  }

  afterEach(() => {
    monitor.stop();
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

  for (const count of [0, 1]) {
    it(`does not claim to reach upstreams by a list of ${count}`, async () => {
      await startMonitor(count);
      hearOf(ReachState.CUT_OFF);
      await pause(TEST_MS);
      expect(monitor.state).to.equal(ReachState.UNKNOWN);
    });
  }
});
