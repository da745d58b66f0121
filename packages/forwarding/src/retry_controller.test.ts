import {ErrorKind, Ran} from '@parsleywood/errors';
import {expect} from 'chai';
import fc from 'fast-check';
import {AttemptEnd} from './attempt_outcome.js';
import {NextStep} from './next_step.js';
import {RequestKind} from './request_kind.js';
import {RequestLife} from './retry_controller.js';
import type {Route} from './route.js';
import {describeRoute} from './testing/create_route.js';

const LEFT_MS = 1_000;

function makeRoute(
  kind: RequestKind,
  maxAttempts: number,
  resumable = false,
): Route {
  return describeRoute({kind, maxAttempts, resumable});
}

const ATTEMPT_ENDS = fc.array(
  fc.record({
    end: fc.constantFrom(...Object.values(AttemptEnd)),
    status: fc.constantFrom(200, 404, 500, 503),
  }),
  {minLength: 1, maxLength: 8},
);

/** Ends attempts until no retry follows; counts those that may have run. */
function runAttempts(
  life: RequestLife,
  ends: readonly {end: AttemptEnd; status: number}[],
): {maybeRun: number; sent: number; last: NextStep | undefined} {
  let maybeRun = 0;
  let sent = 0;
  let last: NextStep | undefined;
  for (const {end, status} of ends) {
    sent++;
    if (end !== AttemptEnd.NOT_SENT && end !== AttemptEnd.REFUSED) {
      maybeRun++;
    }
    last = life.endAttempt(end, status, LEFT_MS, true, () => true);
    if (last !== NextStep.RETRY) break;
  }
  return {maybeRun, sent, last};
}

describe('RequestLife', () => {
  it('never retries a non-repeatable request that may have run', () => {
    fc.assert(
      fc.property(
        ATTEMPT_ENDS,
        fc.integer({min: 1, max: 4}),
        (ends, attempts) => {
          for (const kind of [RequestKind.UNSAFE, RequestKind.STREAM]) {
            const life = new RequestLife(makeRoute(kind, attempts));
            expect(runAttempts(life, ends).maybeRun).to.be.at.most(1);
          }
        },
      ),
      {seed: 1, numRuns: 500},
    );
  });

  it('never exceeds the maximum attempts of the route', () => {
    fc.assert(
      fc.property(
        ATTEMPT_ENDS,
        fc.integer({min: 1, max: 4}),
        (ends, attempts) => {
          const life = new RequestLife(makeRoute(RequestKind.SAFE, attempts));
          const {maybeRun, sent} = runAttempts(life, ends);
          expect(maybeRun).to.be.at.most(attempts);
          expect(sent).to.be.at.most(attempts + 3);
        },
      ),
      {seed: 2, numRuns: 500},
    );
  });

  it('reports that a request did not run only if none of its attempts may have run', () => {
    fc.assert(
      fc.property(ATTEMPT_ENDS, ends => {
        const life = new RequestLife(makeRoute(RequestKind.UNSAFE, 1));
        const {maybeRun} = runAttempts(life, ends);
        const failure = life.describeFailure('x', 100);
        const didNotRun = failure.ran === Ran.NO;
        expect(didNotRun).to.equal(maybeRun === 0);
        expect(failure.kind).to.equal(
          didNotRun
            ? ErrorKind.UPSTREAM_UNAVAILABLE
            : ErrorKind.UPSTREAM_FAILED,
        );
      }),
      {seed: 3, numRuns: 500},
    );
  });

  it('retries a broken stream only if it is resumable', () => {
    const decideAfter = (resumable: boolean): NextStep =>
      new RequestLife(makeRoute(RequestKind.STREAM, 2, resumable)).endAttempt(
        AttemptEnd.BROKEN,
        0,
        LEFT_MS,
        true,
        () => true,
      );
    expect(decideAfter(true)).to.equal(NextStep.RETRY);
    expect(decideAfter(false)).to.equal(NextStep.FAIL);
  });

  it('relays the error response of an upstream when no retry is possible', () => {
    const decideAfter = (hasUpstream: boolean, hasBudget: boolean): NextStep =>
      new RequestLife(makeRoute(RequestKind.SAFE, 2)).endAttempt(
        AttemptEnd.ANSWERED,
        500,
        LEFT_MS,
        hasUpstream,
        () => hasBudget,
      );
    expect(decideAfter(true, true)).to.equal(NextStep.RETRY);
    expect(decideAfter(false, true)).to.equal(NextStep.PASS_ON);
    expect(decideAfter(true, false)).to.equal(NextStep.PASS_ON);
  });

  it('retries an attempt that was never sent without using the retry budget', () => {
    const life = new RequestLife(makeRoute(RequestKind.UNSAFE, 1));
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
