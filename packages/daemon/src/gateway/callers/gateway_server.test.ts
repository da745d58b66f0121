import {expect} from 'chai';
import {request} from 'undici';
import {SystemClock} from '../../host/system_clock.js';
import {findFreePorts} from '@parsleywood/stand-ins';
import {DEFAULT_HEADER_NAMES} from '../default_header_names.js';
import type {GatewayContext} from '../gateway_context.js';
import {GatewayServer} from './gateway_server.js';

describe('GatewayServer', () => {
  it('answers a request at once when its handling fails unexpectedly', async () => {
    const [port = 0] = await findFreePorts(1);
    const context = {
      clock: new SystemClock(),
      headerNames: DEFAULT_HEADER_NAMES,
      metrics: {requests: {inc: () => undefined}},
      reach: {isOutOfService: false},
      log: {info: () => undefined, error: () => undefined},
      replica: {
        position: {},
        get rules(): never {
          throw new Error('no rules');
        },
      },
    } as unknown as GatewayContext;
    const server = new GatewayServer(context);
    await server.listen('127.0.0.1', port);
    try {
      const answer = await request(`http://127.0.0.1:${port}/x`, {
        headersTimeout: 1_000,
      });
      expect(answer.statusCode).to.equal(500);
      expect(await answer.body.json()).to.have.nested.property(
        'error.ran',
        'no',
      );
    } finally {
      await server.close();
    }
  });
});
