import {setImmediate as pause} from 'node:timers/promises';
import {AttemptOutcome, type RouteMatch} from '@parsleywood/forwarding';
import {createUpstream} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import type {ReceivedRequest} from '../callers/received_request.js';
import type {GatewayContext} from '../gateway_context.js';
import {ReservationOutcome} from '../upstreams/reservation_outcome.js';
import type {AttemptPlacer} from './attempt_placer.js';
import {AttemptSender} from './attempt_sender.js';
import type {PlacedAttempt} from './placed_attempt.js';

const PLACED = {
  placement: {id: 'r1/0'},
  choice: {
    upstream: createUpstream('e0'),
    helpers: [createUpstream('e1')],
    plan: {parts: [{}, {heldTokens: 9}]},
  },
} as unknown as PlacedAttempt;

/** Sends an attempt; returns the reservation calls and how it ended. */
async function send(isEvacuated: (calls: number) => boolean): Promise<object> {
  const calls: string[] = [];
  const ends: AttemptOutcome[] = [];
  const context = {
    log: {info: () => undefined},
    reservationClient: {
      reserve: () => {
        calls.push('reserve');
        return Promise.resolve(ReservationOutcome.HELD);
      },
      release: () => {
        calls.push('release');
        return Promise.resolve(true);
      },
    },
  } as unknown as GatewayContext;
  const sender = new AttemptSender(
    context,
    {} as RouteMatch,
    {} as ReceivedRequest,
    {isEvacuated: () => isEvacuated(calls.length)} as unknown as AttemptPlacer,
    {
      onHead: () => true,
      onData: () => undefined,
      onEnd: outcome => ends.push(outcome),
    },
    () => undefined,
    () => 1_000,
  );
  sender.send(PLACED, undefined);
  for (let turn = 0; turn < 9 && ends.length === 0; turn++) await pause();
  sender.end();
  return {calls, ends, sent: sender.sentAttempts};
}

describe('AttemptSender', () => {
  it('neither reserves nor keeps memory for an attempt that was evacuated meanwhile', async () => {
    const ends = [AttemptOutcome.WITHDRAWN];
    expect(await send(() => true)).to.deep.equal({calls: [], ends, sent: 0});
    const reserved = await send(calls => calls > 0);
    const calls = ['reserve', 'release'];
    expect(reserved).to.deep.equal({calls, ends, sent: 0});
  });
});
