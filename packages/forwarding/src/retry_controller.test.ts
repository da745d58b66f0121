import {ErrorKind, ExecutionStatus} from '@parsleywood/errors';
import {expect} from 'chai';
import fc from 'fast-check';
import {AttemptOutcome} from './attempt_outcome.js';
import {NextStep} from './next_step.js';
import {RequestKind} from './request_kind.js';
import {RetryController} from './retry_controller.js';
import type {Route} from './route.js';
import {createRoute} from './testing/create_route.js';

const LEFT_MS = 1_000;

function makeRoute(
  kind: RequestKind,
  maxAttempts: number,
  resumable = false,
): Route {
  return createRoute({kind, maxAttempts, resumable});
}

const ATTEMPT_OUTCOMES = fc.array(
  fc.record({
    outcome: fc.constantFrom(...Object.values(AttemptOutcome)),
    status: fc.constantFrom(200, 404, 500, 503),
  }),
  {minLength: 1, maxLength: 8},
);

/** Ends attempts until no retry follows; counts those that may have run. */
function runAttempts(
  controller: RetryController,
  outcomes: readonly {outcome: AttemptOutcome; status: number}[],
): {maybeRun: number; sent: number; last: NextStep | undefined} {
  let maybeRun = 0;
  let sent = 0;
  let last: NextStep | undefined;
  for (const {outcome, status} of outcomes) {
    sent++;
    if (
      outcome !== AttemptOutcome.NOT_SENT &&
      outcome !== AttemptOutcome.REFUSED
    ) {
      maybeRun++;
    }
    last = controller.endAttempt(outcome, status, LEFT_MS, true, () => true);
    if (last !== NextStep.RETRY) break;
  }
  return {maybeRun, sent, last};
}

describe('RetryController', () => {
  it('never retries a non-repeatable request that may have run', () => {
    fc.assert(
      fc.property(
        ATTEMPT_OUTCOMES,
        fc.integer({min: 1, max: 4}),
        (outcomes, attempts) => {
          for (const kind of [RequestKind.NON_IDEMPOTENT, RequestKind.STREAM]) {
            const controller = new RetryController(makeRoute(kind, attempts));
            expect(runAttempts(controller, outcomes).maybeRun).to.be.at.most(1);
          }
        },
      ),
      {seed: 1, numRuns: 500},
    );
  });

  it('never exceeds the maximum attempts of the route', () => {
    fc.assert(
      fc.property(
        ATTEMPT_OUTCOMES,
        fc.integer({min: 1, max: 4}),
        (outcomes, attempts) => {
          const controller = new RetryController(
            makeRoute(RequestKind.IDEMPOTENT, attempts),
          );
          const {maybeRun, sent} = runAttempts(controller, outcomes);
          expect(maybeRun).to.be.at.most(attempts);
          expect(sent).to.be.at.most(attempts + 3);
        },
      ),
      {seed: 2, numRuns: 500},
    );
  });

  it('reports that a request did not run only if none of its attempts may have run', () => {
    fc.assert(
      fc.property(ATTEMPT_OUTCOMES, outcomes => {
        const controller = new RetryController(
          makeRoute(RequestKind.NON_IDEMPOTENT, 1),
        );
        const {maybeRun} = runAttempts(controller, outcomes);
        const failure = controller.createFailure('x', 100);
        const didNotRun = failure.ran === ExecutionStatus.NO;
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
      new RetryController(
        makeRoute(RequestKind.STREAM, 2, resumable),
      ).endAttempt(AttemptOutcome.BROKEN, 0, LEFT_MS, true, () => true);
    expect(decideAfter(true)).to.equal(NextStep.RETRY);
    expect(decideAfter(false)).to.equal(NextStep.FAIL);
  });

  it('relays the error response of an upstream when no retry is possible', () => {
    const decideAfter = (hasUpstream: boolean, hasBudget: boolean): NextStep =>
      new RetryController(makeRoute(RequestKind.IDEMPOTENT, 2)).endAttempt(
        AttemptOutcome.ANSWERED,
        500,
        LEFT_MS,
        hasUpstream,
        () => hasBudget,
      );
    expect(decideAfter(true, true)).to.equal(NextStep.RETRY);
    expect(decideAfter(false, true)).to.equal(NextStep.FORWARD_ANSWER);
    expect(decideAfter(true, false)).to.equal(NextStep.FORWARD_ANSWER);
  });

  it('retries an attempt that was never sent without using the retry budget', () => {
    const controller = new RetryController(
      makeRoute(RequestKind.NON_IDEMPOTENT, 1),
    );
    const step = controller.endAttempt(
      AttemptOutcome.NOT_SENT,
      0,
      LEFT_MS,
      true,
      () => false,
    );
    expect(step).to.equal(NextStep.RETRY);
  });
});
