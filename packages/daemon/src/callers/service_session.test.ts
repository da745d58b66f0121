import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {TestSite} from '../testing/test_site.js';

const RESPONSE_DELAY_MS = 2_000;
const CLOSE_DELAY_MS = 200;
/** Time in which a call that is sent on reaches its upstream. */
const ARRIVAL_MS = 300;
const CALLS = 10;

describe('ServiceSession', () => {
  let site: TestSite;
  before(async () => {
    site = await TestSite.start(1);
  });
  after(() => site.stop());

  it('does not send a call on whose caller has left', async () => {
    const {host, hostname, port} = new URL(site.urls[0] ?? '');
    const body = '{}';
    for (let at = 0; at < CALLS; at++) {
      const socket = connect(Number(port), hostname);
      await once(socket, 'connect');
      socket.write(
        `POST /v1/services/test-app/orders HTTP/1.1\r\nHost: ${host}\r\n` +
          'Authorization: Bearer test-key-one\r\n' +
          `Idempotency-Key: left-${at}\r\n` +
          'Content-Type: application/json\r\n' +
          `Content-Length: ${body.length}\r\n\r\n${body}`,
      );
      socket.destroy();
    }
    await pause(ARRIVAL_MS);
    const executions = await fetch(`${site.service.url}/executions`);
    expect(await executions.json()).to.deep.equal([]);
  });

  // The upstream closes after it received the call. No other upstream is left
  // for the retry, and the failure must not claim that the call has not run.
  it('reports a repeatable call as maybe run if its only upstream dies during it', async () => {
    await fetch(`${site.service.url}/faults`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({slowMs: RESPONSE_DELAY_MS}),
    });
    const pendingResponse = fetch(
      `${site.urls[0] ?? ''}/v1/services/test-app/levels`,
      {
        headers: {authorization: 'Bearer test-key-one'},
      },
    );
    await once(AbortSignal.timeout(CLOSE_DELAY_MS), 'abort');
    await site.service.close();
    const answer = await pendingResponse;
    const {error} = (await answer.json()) as {error: {ran: string}};
    expect(answer.status).to.be.within(502, 503);
    expect(error.ran).to.equal('unknown');
  });
});
