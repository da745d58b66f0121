import {RawServer} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import {CommandFailure} from './command_failure.js';
import {HostClient} from './host_client.js';

const RESPONSE = `HTTP/1.1 200 OK\r\n\r\n{"hosts": []}`;

describe('HostClient', () => {
  let server: RawServer;

  afterEach(() => {
    server.stop();
  });

  async function read(isReset: boolean): Promise<unknown> {
    server = RawServer.answering({bytes: RESPONSE, isReset});
    const {host} = new URL(await server.start());
    return new HostClient(host)
      .readStatus()
      .catch((error: unknown) => error instanceof CommandFailure);
  }

  it('takes a response that lasts until the connection ends', async () => {
    expect(await read(false)).to.deep.equal({hosts: []});
  });

  it('does not take a response that is reset with its last bytes', async () => {
    expect(await read(true)).to.equal(true);
  });
});
