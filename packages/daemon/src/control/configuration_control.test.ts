import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {EventLog} from '../host/event_log.js';
import {HostMetrics} from '../host/host_metrics.js';
import {HostTimeline} from '../host/host_timeline.js';
import {SystemClock} from '../host/system_clock.js';
import {PeerTransport} from '../peers/peer_transport.js';
import {ConfigurationControl} from './configuration_control.js';
import {PlatformClient} from './platform_client.js';

const NESTED = '['.repeat(100_000) + ']'.repeat(100_000);
/** Time in which a host that no peer answers has read all values. */
const READ_MS = 6_000;
const POLL_MS = 50;

describe('ConfigurationControl', () => {
  let server: Server;
  let control: ConfigurationControl;
  let platform: PlatformClient;

  /** Starts a host that reads the same content for all keys. */
  async function start(content: string): Promise<void> {
    server = createServer((request, response) => {
      const [, key = ''] = /^\/values\/([^?]*)/.exec(request.url ?? '') ?? [];
      response.end(`{"key":"${key}","revision":1,"value":${content}}`);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const clock = new SystemClock();
    const metrics = new HostMetrics();
    const self = {host: 'h', id: '1'};
    const timeline = new HostTimeline(self, clock);
    platform = new PlatformClient(`http://127.0.0.1:${port}`, metrics);
    control = new ConfigurationControl(
      's',
      {host: 'h', failureDomain: 'd'},
      1,
      clock,
      platform,
      new PeerTransport(self, 'key', timeline, metrics, () => undefined),
      new EventLog(self, 'error'),
      {
        onSettings: () => undefined,
        onHosts: () => undefined,
        onUpstreams: () => undefined,
      },
    );
    control.start();
  }

  afterEach(async () => {
    control.stop();
    await platform.close();
    server.closeAllConnections();
    server.close();
  });

  for (const content of [NESTED, `{"upstreams":${NESTED}}`, '1e400']) {
    const name = content.slice(0, 12);
    it(`refuses a value with an alarm and goes on: ${name}`, async () => {
      await start(content);
      const untilMs = performance.now() + READ_MS;
      let alarms = '';
      while (!alarms.includes('upstreams/s') && performance.now() < untilMs) {
        await pause(POLL_MS);
        const messages = control.listProblems().map(({message}) => message);
        alarms = messages.join();
      }
      for (const key of ['hosts/s', 'sites/s', 'upstreams/s']) {
        expect(alarms).to.match(new RegExp(`refused .*${key}`));
      }
      expect(control.getRevision()).to.equal(undefined);
    });
  }
});
