import {ErrorKind, Ran} from '@parsleywood/errors';
import {expect} from 'chai';
import fc from 'fast-check';
import {AttemptEnd} from './attempt_end.js';
import {NextStep} from './next_step.js';
import {RequestKind} from './request_kind.js';
import {RequestLife} from './request_life.js';
import type {Route} from './route.js';
import {describeRoute} from './testing/describe_route.js';

const LEFT_MS = 1_000;

function route(
  kind: RequestKind,
  maxAttempts: number,
  resumable = false,
): Route {
  return describeRoute({kind, maxAttempts, resumable});
}

const ENDS = fc.array(
  fc.record({
    end: fc.constantFrom(...Object.values(AttemptEnd)),
    status: fc.constantFrom(200, 404, 500, 503),
  }),
  {minLength: 1, maxLength: 8},
);

/** Plays ends until the request is over; counts the attempts that may have run. */
function play(
  life: RequestLife,
  ends: readonly {end: AttemptEnd; status: number}[],
): {maybeRun: number; sent: number; last: NextStep | undefined} {
  let maybeRun = 0;
  let sent = 0;
  let last: NextStep | undefined;
  for (const {end, status} of ends) {
    sent++;
    if (end !== AttemptEnd.NOT_SENT && end !== AttemptEnd.REFUSED) maybeRun++;
    last = life.endAttempt(end, status, LEFT_MS, true, () => true);
    if (last !== NextStep.RETRY) break;
  }
  return {maybeRun, sent, last};
}

describe('RequestLife', () => {
  it('runs what may not be repeated once at most', () => {
    fc.assert(
      fc.property(ENDS, fc.integer({min: 1, max: 4}), (ends, attempts) => {
        for (const kind of [RequestKind.UNSAFE, RequestKind.STREAM]) {
          const life = new RequestLife(route(kind, attempts));
          expect(play(life, ends).maybeRun).to.be.at.most(1);
        }
      }),
      {seed: 1, numRuns: 500},
    );
  });

  it('keeps to the attempts of the route', () => {
    fc.assert(
      fc.property(ENDS, fc.integer({min: 1, max: 4}), (ends, attempts) => {
        const life = new RequestLife(route(RequestKind.SAFE, attempts));
        const {maybeRun, sent} = play(life, ends);
        expect(maybeRun).to.be.at.most(attempts);
        expect(sent).to.be.at.most(attempts + 3);
      }),
      {seed: 2, numRuns: 500},
    );
  });

  it('says that a request did not run only when none of its attempts may have', () => {
    fc.assert(
      fc.property(ENDS, ends => {
        const life = new RequestLife(route(RequestKind.UNSAFE, 1));
        const {maybeRun} = play(life, ends);
        const failure = life.describeFailure('x', 100);
        const isNotRun = failure.ran === Ran.NO;
        expect(isNotRun).to.equal(maybeRun === 0);
        expect(failure.kind).to.equal(
          isNotRun ? ErrorKind.UPSTREAM_UNAVAILABLE : ErrorKind.UPSTREAM_FAILED,
        );
      }),
      {seed: 3, numRuns: 500},
    );
  });

  it('moves a resumable stream that broke, and no other', () => {
    const end = (resumable: boolean): NextStep =>
      new RequestLife(route(RequestKind.STREAM, 2, resumable)).endAttempt(
        AttemptEnd.BROKEN,
        0,
        LEFT_MS,
        true,
        () => true,
      );
    expect(end(true)).to.equal(NextStep.RETRY);
    expect(end(false)).to.equal(NextStep.FAIL);
  });

  it('passes on the failure of an upstream when it cannot try again', () => {
    const end = (hasUpstream: boolean, hasBudget: boolean): NextStep =>
      new RequestLife(route(RequestKind.SAFE, 2)).endAttempt(
        AttemptEnd.ANSWERED,
        500,
        LEFT_MS,
        hasUpstream,
        () => hasBudget,
      );
    expect(end(true, true)).to.equal(NextStep.RETRY);
    expect(end(false, true)).to.equal(NextStep.PASS_ON);
    expect(end(true, false)).to.equal(NextStep.PASS_ON);
  });

  it('tries again without the budget what was never sent', () => {
    const life = new RequestLife(route(RequestKind.UNSAFE, 1));
    const step = life.endAttempt(
      AttemptEnd.NOT_SENT,
      0,
      LEFT_MS,
      true,
      () => false,
    );
    expect(step).to.equal(NextStep.RETRY);
  });
});
