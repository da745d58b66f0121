import {setImmediate as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {UpstreamHealth, UpstreamPace} from '@parsleywood/dispatch';
import {
  AttemptOutcome,
  UpstreamStage,
  type RouteMatch,
} from '@parsleywood/forwarding';
import {AttemptPlacer} from './attempt_placer.js';
import type {GatewayContext} from '../gateway_context.js';
import type {ReceivedRequest} from '../callers/received_request.js';

const UPSTREAM = {
  id: 'u',
  service: 's',
  address: 'a',
  failureDomain: 'd',
  stage: UpstreamStage.READY,
  slots: 1,
};

/** Lets an upstream fail, and returns the upstreams that other hosts hear of. */
async function publishFailures(
  reachesUpstreams: boolean,
  isSilent: boolean,
): Promise<string[]> {
  const published: string[] = [];
  const context = {
    health: new UpstreamHealth(),
    pacing: {pace: new UpstreamPace()},
    clock: {nowMs: () => 0, wallMs: () => 0},
    log: {warn: () => undefined},
    publisher: {
      publishFailure: (id: string) => {
        published.push(id);
      },
    },
    reach: {testReach: () => Promise.resolve(reachesUpstreams)},
  } as unknown as GatewayContext;
  const placer = new AttemptPlacer(
    context,
    {} as RouteMatch,
    {} as ReceivedRequest,
    's',
    1,
  );
  placer.penalize(UPSTREAM, isSilent, AttemptOutcome.TIMED_OUT, 0);
  placer.penalize(UPSTREAM, isSilent, AttemptOutcome.TIMED_OUT, 0);
  await pause();
  return published;
}

describe('AttemptPlacer', () => {
  it('publishes no silence of an upstream at a host that reaches none', async () => {
    expect(await publishFailures(false, true)).to.deep.equal([]);
    expect(await publishFailures(true, true)).to.deep.equal(['u']);
    expect(await publishFailures(false, false)).to.deep.equal(['u']);
  });
});
