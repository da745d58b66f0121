import {once} from 'node:events';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {expect} from 'chai';
import {canConnect} from './can_connect.js';

const OPEN_MS = 40;

describe('canConnect', () => {
  let server: Server;

  async function listen(take: (socket: Socket) => void): Promise<string> {
    server = createServer(take);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  afterEach(() => server.close());

  it('takes a connection that stays open', async () => {
    const address = await listen(socket => socket.on('error', () => undefined));
    expect(await canConnect(address, OPEN_MS)).to.equal(true);
  });

  it('does not take a path that accepts connections and resets them for one that works', async () => {
    const address = await listen(socket => socket.resetAndDestroy());
    expect(await canConnect(address, OPEN_MS)).to.equal(false);
  });

  it('does not take a connection that is closed at once', async () => {
    const address = await listen(socket => socket.destroy());
    expect(await canConnect(address, OPEN_MS)).to.equal(false);
  });
});
