import {createServer, type AddressInfo, type Server} from 'node:net';
import {
  SiteReplica,
  UpstreamStage,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import {expect} from 'chai';
import {DepartureCheck} from './departure_check.js';
import type {ReachMonitor} from './reach_monitor.js';

const REQUESTS = 20;

describe('DepartureCheck', () => {
  let nowMs = 0;
  let connections = 0;
  let server: Server;
  let entry: UpstreamEntry;
  const replica = new SiteReplica();
  const reach = {testReach: () => Promise.resolve(true)};
  const check = new DepartureCheck(
    replica,
    reach as unknown as ReachMonitor,
    {nowMs: () => nowMs} as ConstructorParameters<typeof DepartureCheck>[2],
  );

  beforeEach(async () => {
    nowMs += 10_000;
    connections = 0;
    server = createServer(() => connections++);
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    entry = {
      id: `i-${port}`,
      address: `127.0.0.1:${port}`,
      service: 'llm',
      stage: UpstreamStage.READY,
    } as UpstreamEntry;
    replica.upstreams.write(entry, nowMs);
  });

  afterEach(() => server.close());

  function askForAll(): Promise<boolean[]> {
    const calls = Array.from({length: REQUESTS}, () =>
      check.isGone(entry, false),
    );
    return Promise.all(calls);
  }

  // Guards against a connection for each open request as entries lapse at once.
  it('connects to no upstream whose entry may have lapsed', async () => {
    replica.upstreams.remove(entry.id, nowMs, true);
    expect(await askForAll()).not.to.include(true);
    expect(connections).to.equal(0);
  });

  // Guards against a connection for each request that a leaving upstream ends.
  it('connects once for all requests at an upstream that left', async () => {
    replica.upstreams.remove(entry.id, nowMs, false);
    expect(await askForAll()).not.to.include(true);
    expect(connections).to.equal(1);
  });

  it('takes an upstream for gone that took connections a second ago', async () => {
    replica.upstreams.remove(entry.id, nowMs, false);
    await askForAll();
    await new Promise(resolve => server.close(resolve));
    nowMs += 1_000;
    expect(await askForAll()).not.to.include(false);
  });
});
