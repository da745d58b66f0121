import {startPlatform, type StandIn} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import {HostMetrics} from '../host/host_metrics.js';
import {PlatformClient} from './platform_client.js';

describe('PlatformClient', () => {
  let platform: StandIn;
  let client: PlatformClient;
  before(async () => {
    platform = await startPlatform(0);
    client = new PlatformClient(platform.url, new HostMetrics());
    await send('PUT', '/values/base', {a: 1});
  });
  after(async () => {
    await client.close();
    await platform.close();
  });

  it('reads a value, and returns 0 for a key without a value', async () => {
    const result = await client.read('base');
    expect(result.unwrapOr(-1)).to.eql({
      key: 'base',
      revision: 1,
      value: {a: 1},
    });
    expect((await client.read('none')).unwrapOr(-1)).to.equal(0);
  });

  it('returns the older revision that a stale service holds', async () => {
    await send('POST', '/faults', {stale: true});
    await send('PUT', '/values/base', {a: 2});
    expect((await client.watch('base', 2, 10)).unwrapOr(-1)).to.equal(1);
    await send('POST', '/faults', {stale: false});
  });

  it('returns a failure while the service is down', async () => {
    await send('POST', '/faults', {down: true});
    expect((await client.read('base')).isErr).to.equal(true);
  });

  async function send(
    method: string,
    path: string,
    body: object,
  ): Promise<void> {
    const headers = {'content-type': 'application/json'};
    const url = `${platform.url}${path}`;
    const request = {method, headers, body: JSON.stringify(body)};
    await (await fetch(url, request)).arrayBuffer();
  }
});
