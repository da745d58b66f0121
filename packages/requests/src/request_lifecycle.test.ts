import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {expect} from 'chai';
import fc from 'fast-check';
import {
  AttemptFault,
  FinishReason,
  RequestActionKind,
  RequestEventKind,
  RequestLifecycle,
  type RequestAction,
  type RequestEvent,
  type RequestLifecycleOptions,
} from './index.js';

const SEED = 1;
const USAGE = {promptTokens: 3, completionTokens: 5, cachedTokens: 0};
const ANSWER = ['a', 'b', 'c', 'd', 'e'];

describe('RequestLifecycle', () => {
  it('emits the answer of a single attempt and finishes', () => {
    const actions = dispatchAll(makeLifecycle(), [
      {kind: RequestEventKind.ADMITTED},
      {kind: RequestEventKind.UPSTREAM_CHOSEN, upstream: 'e1'},
      makeText('r.1', 0),
      makeEnd('r.1', 1),
    ]);
    expect(actions).to.eql([
      {kind: RequestActionKind.CHOOSE_UPSTREAM, excluded: []},
      makeStart('r.1', 'e1', 0, 1000),
      {kind: RequestActionKind.EMIT, text: 'a', position: 0},
      {
        kind: RequestActionKind.FINISH,
        attempt: 'r.1',
        finish: FinishReason.STOP,
        usage: USAGE,
      },
    ]);
  });

  it('resumes at the exact output position on another upstream', () => {
    const actions = dispatchAll(makeLifecycle(), [
      {kind: RequestEventKind.ADMITTED},
      {kind: RequestEventKind.UPSTREAM_CHOSEN, upstream: 'e1'},
      makeText('r.1', 0),
      makeFault('r.1', AttemptFault.BROKEN),
      {kind: RequestEventKind.UPSTREAM_CHOSEN, upstream: 'e2'},
      {...makeText('r.1', 1), text: 'of another attempt'},
      makeText('r.2', 0),
      makeText('r.2', 1),
    ]);
    expect(actions.slice(3)).to.eql([
      {kind: RequestActionKind.CHOOSE_UPSTREAM, excluded: ['e1']},
      makeStart('r.2', 'e2', 1, 1000),
      {kind: RequestActionKind.EMIT, text: 'b', position: 1},
    ]);
  });

  it('reports that the request did not run when no upstream was reachable', () => {
    const actions = dispatchAll(makeLifecycle({maxAttempts: 1}), [
      {kind: RequestEventKind.ADMITTED},
      {kind: RequestEventKind.UPSTREAM_CHOSEN, upstream: 'e1'},
      makeFault('r.1', AttemptFault.UNREACHABLE),
    ]);
    expect(getFailure(actions)).to.include({
      kind: ErrorKind.UPSTREAM_FAILED,
      ran: ExecutionStatus.NO,
      retryAfterMs: 500,
    });
  });

  it('cancels an attempt that times out idle and retries on another upstream', () => {
    const lifecycle = makeLifecycle();
    dispatchAll(lifecycle, [
      {kind: RequestEventKind.ADMITTED},
      {kind: RequestEventKind.UPSTREAM_CHOSEN, upstream: 'e1'},
    ]);
    expect(lifecycle.wakeAtMs()).to.equal(100);
    expect(lifecycle.handle({kind: RequestEventKind.WAKE}, 100)).to.eql([
      {
        kind: RequestActionKind.CANCEL_ATTEMPT,
        attempt: 'r.1',
        upstream: 'e1',
        fault: AttemptFault.IDLE_TIMEOUT,
      },
      {kind: RequestActionKind.CHOOSE_UPSTREAM, excluded: ['e1']},
    ]);
  });

  it('fails a request admitted after its deadline without starting an attempt', () => {
    const lifecycle = makeLifecycle();
    const actions = lifecycle.handle({kind: RequestEventKind.ADMITTED}, 5000);
    expect(getFailure(actions)).to.include({
      kind: ErrorKind.TIME_LIMIT,
      ran: ExecutionStatus.NO,
    });
    expect(actions.length).to.equal(1);
  });

  it('emits output in order without gaps and ends exactly once by the deadline', () => {
    const anyStep = fc.oneof(
      fc.record({
        step: fc.constant('text' as const),
        position: fc.nat({max: ANSWER.length - 1}),
        attempt: fc.nat({max: 3}),
      }),
      fc.record({
        step: fc.constant('next' as const),
        position: fc.constant(0),
        attempt: fc.constant(0),
      }),
      fc.record({
        step: fc.constantFrom('end' as const, 'fault' as const),
        position: fc.nat({max: ANSWER.length}),
        attempt: fc.nat({max: 3}),
      }),
      fc.record({
        step: fc.constant('wait' as const),
        position: fc.nat({max: 150}),
        attempt: fc.constant(0),
      }),
    );
    fc.assert(
      fc.property(fc.array(anyStep, {maxLength: 60}), steps => {
        checkRandomRun(steps);
      }),
      {seed: SEED, numRuns: 3000},
    );
  });
});

interface Step {
  readonly step: 'text' | 'next' | 'end' | 'fault' | 'wait';
  readonly position: number;
  readonly attempt: number;
}

/** Runs a request against arbitrary upstream events and checks its actions. */
function checkRandomRun(steps: readonly Step[]): void {
  const lifecycle = makeLifecycle();
  let nowMs = 0;
  let activeAttempt = '';
  let position = 0;
  const emitted: string[] = [];
  const finalActions: RequestAction[] = [];
  const dispatch = (event: RequestEvent): void => {
    for (const action of lifecycle.handle(event, nowMs)) {
      expect(finalActions).to.eql([]);
      if (action.kind === RequestActionKind.CHOOSE_UPSTREAM) {
        dispatch({
          kind: RequestEventKind.UPSTREAM_CHOSEN,
          upstream: `e${position}`,
        });
      } else if (action.kind === RequestActionKind.START_ATTEMPT) {
        activeAttempt = action.attempt;
        position = action.resumeFrom;
        expect(action.resumeFrom).to.equal(emitted.length);
        expect(action.limitMs).to.be.greaterThan(0);
      } else if (action.kind === RequestActionKind.EMIT) {
        emitted.push(action.text);
      } else if (action.kind !== RequestActionKind.CANCEL_ATTEMPT) {
        finalActions.push(action);
      }
    }
  };
  dispatch({kind: RequestEventKind.ADMITTED});
  for (const {step, position: at, attempt} of steps) {
    const name = attempt === 0 ? activeAttempt : `r.${attempt}`;
    if (step === 'next' && position < ANSWER.length) {
      dispatch(makeText(activeAttempt, position++));
    } else if (step === 'text') {
      const own = makeText(name, at);
      dispatch(
        name === activeAttempt ? own : {...own, text: 'of another attempt'},
      );
    } else if (step === 'end') {
      const hadEnded = finalActions.length > 0;
      dispatch(makeEnd(name, at));
      if (!hadEnded && finalActions[0]?.kind === RequestActionKind.FINISH) {
        expect({name, at}).to.eql({name: activeAttempt, at: emitted.length});
      }
    } else if (step === 'fault') {
      dispatch(makeFault(name, AttemptFault.BROKEN));
    } else if (step === 'wait') {
      nowMs += at;
      if (lifecycle.wakeAtMs() <= nowMs) {
        dispatch({kind: RequestEventKind.WAKE});
      }
    }
    expect(ANSWER.slice(0, emitted.length)).to.eql(emitted);
  }
  nowMs = 1000;
  if (finalActions.length === 0) dispatch({kind: RequestEventKind.WAKE});
  expect(finalActions.length).to.equal(1);
  expect(lifecycle.wakeAtMs()).to.equal(Infinity);
}

function makeLifecycle(
  options: Partial<RequestLifecycleOptions> = {},
): RequestLifecycle {
  return new RequestLifecycle({
    requestId: 'r',
    deadlineMs: 1000,
    attemptIdleTimeoutMs: 100,
    maxAttempts: 3,
    tryRetry: () => true,
    ...options,
  });
}

function dispatchAll(
  lifecycle: RequestLifecycle,
  events: readonly RequestEvent[],
): RequestAction[] {
  return events.flatMap(event => lifecycle.handle(event, 0));
}

function makeText(
  attempt: string,
  position: number,
): Extract<RequestEvent, {kind: RequestEventKind.TEXT}> {
  const kind = RequestEventKind.TEXT;
  return {kind, attempt, position, text: ANSWER[position] ?? ''};
}

function makeEnd(attempt: string, position: number): RequestEvent {
  return {
    kind: RequestEventKind.END,
    attempt,
    position,
    finish: FinishReason.STOP,
    usage: USAGE,
  };
}

function makeFault(attempt: string, fault: AttemptFault): RequestEvent {
  const kind = RequestEventKind.ATTEMPT_FAILED;
  return {kind, attempt, fault, detail: 'test'};
}

function makeStart(
  attempt: string,
  upstream: string,
  resumeFrom: number,
  limitMs: number,
): RequestAction {
  const kind = RequestActionKind.START_ATTEMPT;
  return {kind, attempt, upstream, resumeFrom, limitMs};
}

function getFailure(actions: readonly RequestAction[]): Failure | undefined {
  const last = actions.at(-1);
  return last?.kind === RequestActionKind.FAIL ? last.failure : undefined;
}
