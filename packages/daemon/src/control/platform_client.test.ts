import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {startPlatform, type StandIn} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import {HostMetrics} from '../host/host_metrics.js';
import {encodePublishedValue} from './encode_published_value.js';
import {PlatformClient} from './platform_client.js';

const LOCAL = '127.0.0.1';
const METRICS = new HostMetrics();

describe('PlatformClient', () => {
  let platform: StandIn;
  let client: PlatformClient;
  before(async () => {
    platform = await startPlatform(0);
    client = new PlatformClient(platform.url, METRICS);
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

  // Such a tag counted as revision 0, as if the key had no value.
  for (const tag of ['"9007199254740993"', '"1e1"', 'W/"7"', '"-1"', '']) {
    it(`returns a failure for the entity tag ${tag}`, async () => {
      const server = createServer((_request, response) =>
        response.writeHead(304, {ETag: tag}).end(),
      );
      await new Promise<void>(resolve => server.listen(0, LOCAL, resolve));
      const {port} = server.address() as AddressInfo;
      const odd = new PlatformClient(`http://${LOCAL}:${port}`, METRICS);
      const result = await odd.watch('k', 3, 10);
      await odd.close();
      server.close();
      expect(result.isErr).to.equal(true);
    });
  }

  for (const [name, body] of Object.entries({
    null: 'null',
    'a list': '[]',
    'a revision of 1e400': '{"key":"k","revision":1e400,"value":{}}',
    'a revision that is a fraction': '{"key":"k","revision":1.5,"value":{}}',
    'no JSON': '{',
  })) {
    it(`returns a failure for a response that is ${name}`, async () => {
      const server = createServer((_request, response) => response.end(body));
      await new Promise<void>(resolve => server.listen(0, LOCAL, resolve));
      const {port} = server.address() as AddressInfo;
      const odd = new PlatformClient(`http://${LOCAL}:${port}`, METRICS);
      const result = await odd.read('k');
      await odd.close();
      server.close();
      expect(result.isErr).to.equal(true);
    });
  }

  it('encodes each value, however it is nested', () => {
    const nested: unknown = JSON.parse(
      '['.repeat(100_000) + ']'.repeat(100_000),
    );
    expect(encodePublishedValue({a: 1})).to.equal('{"a":1}');
    for (const value of [nested, {a: nested}, undefined]) {
      expect(JSON.parse(encodePublishedValue(value))).to.be.a('string');
    }
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
