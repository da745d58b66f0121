import {once} from 'node:events';
import {expect} from 'chai';
import {TestSite} from '../testing/test_site.js';

const RESPONSE_DELAY_MS = 2_000;
const CLOSE_DELAY_MS = 200;

describe('ServiceSession', () => {
  let site: TestSite;
  before(async () => {
    site = await TestSite.start(1);
  });
  after(() => site.stop());

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
