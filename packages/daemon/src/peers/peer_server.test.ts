import {findFreePorts} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import {SystemClock} from '../host/system_clock.js';
import {HostMetrics} from '../host/host_metrics.js';
import {HostTimeline} from '../host/host_timeline.js';
import type {PeerListener} from './peer_listener.js';
import {PeerServer} from './peer_server.js';
import {PeerTransport} from './peer_transport.js';

const SELF = {host: 'host-2', id: '1-a'};
const POLL_MS = 5;

describe('PeerServer', () => {
  let address: string;
  let server: PeerServer;
  let senders: string[];
  beforeEach(async () => {
    const [port = 0] = await findFreePorts(1);
    address = `127.0.0.1:${port}`;
    senders = [];
    const listener = {
      takeDelivery: ({from}) => senders.push(from),
      readStatus: () => '{}',
    } as Partial<PeerListener> as PeerListener;
    server = new PeerServer('right', listener);
    await server.listen(address);
  });
  afterEach(() => server.close());

  it('accepts messages and calls of peers that present the key', async () => {
    const peer = connect('right');
    expect((await peer.readStatus('host-1')).unwrapOr('')).to.equal('{}');
    peer.send('host-1', {});
    while (senders.length === 0) {
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    expect(senders).to.eql(['host-2']);
    peer.close();
  });

  it('rejects messages and calls with a wrong key', async () => {
    const intruder = connect('wrong');
    intruder.send('host-1', {});
    const failure = await intruder.readStatus('host-1');
    expect(failure.isErr && failure.error.message).to.equal(
      'host "host-1": wrong peer key',
    );
    expect(senders).to.eql([]);
    intruder.close();
  });

  function connect(key: string): PeerTransport {
    const timeline = new HostTimeline(SELF, new SystemClock());
    const metrics = new HostMetrics();
    return new PeerTransport(SELF, key, timeline, metrics, () => address);
  }
});
