import {ErrorKind, Failure, Ran} from '@parsleywood/errors';
import {expect} from 'chai';
import fc from 'fast-check';
import {
  AttemptFault,
  Finish,
  Life,
  LifeActionKind,
  LifeEventKind,
  type LifeAction,
  type LifeEvent,
  type RequestLifecycleOptions,
} from './index.js';

const SEED = 1;
const USAGE = {promptTokens: 3, completionTokens: 5, cachedTokens: 0};
const ANSWER = ['a', 'b', 'c', 'd', 'e'];

describe('Life', () => {
  it('emits the answer of a single attempt and finishes', () => {
    const actions = dispatchAll(makeLife(), [
      {kind: LifeEventKind.ADMITTED},
      {kind: LifeEventKind.CHOSEN, upstream: 'e1'},
      makeText('r.1', 0),
      makeEnd('r.1', 1),
    ]);
    expect(actions).to.eql([
      {kind: LifeActionKind.CHOOSE, excluded: []},
      makeStart('r.1', 'e1', 0, 1000),
      {kind: LifeActionKind.EMIT, text: 'a', position: 0},
      {
        kind: LifeActionKind.FINISH,
        attempt: 'r.1',
        finish: Finish.STOP,
        usage: USAGE,
      },
    ]);
  });

  it('resumes at the exact output position on another upstream', () => {
    const actions = dispatchAll(makeLife(), [
      {kind: LifeEventKind.ADMITTED},
      {kind: LifeEventKind.CHOSEN, upstream: 'e1'},
      makeText('r.1', 0),
      makeFault('r.1', AttemptFault.BROKEN),
      {kind: LifeEventKind.CHOSEN, upstream: 'e2'},
      {...makeText('r.1', 1), text: 'of another attempt'},
      makeText('r.2', 0),
      makeText('r.2', 1),
    ]);
    expect(actions.slice(3)).to.eql([
      {kind: LifeActionKind.CHOOSE, excluded: ['e1']},
      makeStart('r.2', 'e2', 1, 1000),
      {kind: LifeActionKind.EMIT, text: 'b', position: 1},
    ]);
  });

  it('reports that the request did not run when no upstream was reachable', () => {
    const actions = dispatchAll(makeLife({maxAttempts: 1}), [
      {kind: LifeEventKind.ADMITTED},
      {kind: LifeEventKind.CHOSEN, upstream: 'e1'},
      makeFault('r.1', AttemptFault.UNREACHABLE),
    ]);
    expect(getFailure(actions)).to.include({
      kind: ErrorKind.UPSTREAM_FAILED,
      ran: Ran.NO,
      retryAfterMs: 500,
    });
  });

  it('cancels an attempt that times out idle and retries on another upstream', () => {
    const life = makeLife();
    dispatchAll(life, [
      {kind: LifeEventKind.ADMITTED},
      {kind: LifeEventKind.CHOSEN, upstream: 'e1'},
    ]);
    expect(life.wakeAtMs()).to.equal(100);
    expect(life.handle({kind: LifeEventKind.WAKE}, 100)).to.eql([
      {
        kind: LifeActionKind.CANCEL_ATTEMPT,
        attempt: 'r.1',
        upstream: 'e1',
        fault: AttemptFault.SILENT,
      },
      {kind: LifeActionKind.CHOOSE, excluded: ['e1']},
    ]);
  });

  it('fails a request admitted after its deadline without starting an attempt', () => {
    const life = makeLife();
    const actions = life.handle({kind: LifeEventKind.ADMITTED}, 5000);
    expect(getFailure(actions)).to.include({
      kind: ErrorKind.TIME_LIMIT,
      ran: Ran.NO,
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
  const life = makeLife();
  let nowMs = 0;
  let activeAttempt = '';
  let position = 0;
  const emitted: string[] = [];
  const finalActions: LifeAction[] = [];
  const dispatch = (event: LifeEvent): void => {
    for (const action of life.handle(event, nowMs)) {
      expect(finalActions).to.eql([]);
      if (action.kind === LifeActionKind.CHOOSE) {
        dispatch({kind: LifeEventKind.CHOSEN, upstream: `e${position}`});
      } else if (action.kind === LifeActionKind.START_ATTEMPT) {
        activeAttempt = action.attempt;
        position = action.resumeFrom;
        expect(action.resumeFrom).to.equal(emitted.length);
        expect(action.limitMs).to.be.greaterThan(0);
      } else if (action.kind === LifeActionKind.EMIT) {
        emitted.push(action.text);
      } else if (action.kind !== LifeActionKind.CANCEL_ATTEMPT) {
        finalActions.push(action);
      }
    }
  };
  dispatch({kind: LifeEventKind.ADMITTED});
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
      if (!hadEnded && finalActions[0]?.kind === LifeActionKind.FINISH) {
        expect({name, at}).to.eql({name: activeAttempt, at: emitted.length});
      }
    } else if (step === 'fault') {
      dispatch(makeFault(name, AttemptFault.BROKEN));
    } else if (step === 'wait') {
      nowMs += at;
      if (life.wakeAtMs() <= nowMs) {
        dispatch({kind: LifeEventKind.WAKE});
      }
    }
    expect(ANSWER.slice(0, emitted.length)).to.eql(emitted);
  }
  nowMs = 1000;
  if (finalActions.length === 0) dispatch({kind: LifeEventKind.WAKE});
  expect(finalActions.length).to.equal(1);
  expect(life.wakeAtMs()).to.equal(Infinity);
}

function makeLife(options: Partial<RequestLifecycleOptions> = {}): Life {
  return new Life({
    requestId: 'r',
    deadlineMs: 1000,
    silenceMs: 100,
    maxAttempts: 3,
    mayRetry: () => true,
    ...options,
  });
}

function dispatchAll(life: Life, events: readonly LifeEvent[]): LifeAction[] {
  return events.flatMap(event => life.handle(event, 0));
}

function makeText(
  attempt: string,
  position: number,
): Extract<LifeEvent, {kind: LifeEventKind.TEXT}> {
  const kind = LifeEventKind.TEXT;
  return {kind, attempt, position, text: ANSWER[position] ?? ''};
}

function makeEnd(attempt: string, position: number): LifeEvent {
  return {
    kind: LifeEventKind.END,
    attempt,
    position,
    finish: Finish.STOP,
    usage: USAGE,
  };
}

function makeFault(attempt: string, fault: AttemptFault): LifeEvent {
  const kind = LifeEventKind.ATTEMPT_FAILED;
  return {kind, attempt, fault, detail: 'test'};
}

function makeStart(
  attempt: string,
  upstream: string,
  resumeFrom: number,
  limitMs: number,
): LifeAction {
  const kind = LifeActionKind.START_ATTEMPT;
  return {kind, attempt, upstream, resumeFrom, limitMs};
}

function getFailure(actions: readonly LifeAction[]): Failure | undefined {
  const last = actions.at(-1);
  return last?.kind === LifeActionKind.FAIL ? last.failure : undefined;
}
