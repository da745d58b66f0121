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
  type LifeOptions,
} from './index.js';

const SEED = 1;
const USAGE = {promptTokens: 3, completionTokens: 5, cachedTokens: 0};
const ANSWER = ['a', 'b', 'c', 'd', 'e'];

describe('Life', () => {
  it('emits the answer of one attempt and finishes', () => {
    const actions = play(makeLife(), [
      {kind: LifeEventKind.ADMITTED},
      {kind: LifeEventKind.CHOSEN, upstream: 'e1'},
      text('r.1', 0),
      end('r.1', 1),
    ]);
    expect(actions).to.eql([
      {kind: LifeActionKind.CHOOSE, excluded: []},
      start('r.1', 'e1', 0, 1000),
      {kind: LifeActionKind.EMIT, text: 'a', position: 0},
      {
        kind: LifeActionKind.FINISH,
        attempt: 'r.1',
        finish: Finish.STOP,
        usage: USAGE,
      },
    ]);
  });

  it('continues at the exact position on another upstream', () => {
    const actions = play(makeLife(), [
      {kind: LifeEventKind.ADMITTED},
      {kind: LifeEventKind.CHOSEN, upstream: 'e1'},
      text('r.1', 0),
      fault('r.1', AttemptFault.BROKEN),
      {kind: LifeEventKind.CHOSEN, upstream: 'e2'},
      {...text('r.1', 1), text: 'of another attempt'},
      text('r.2', 0),
      text('r.2', 1),
    ]);
    expect(actions.slice(3)).to.eql([
      {kind: LifeActionKind.CHOOSE, excluded: ['e1']},
      start('r.2', 'e2', 1, 1000),
      {kind: LifeActionKind.EMIT, text: 'b', position: 1},
    ]);
  });

  it('says that nothing ran when no upstream was reached', () => {
    const actions = play(makeLife({maxAttempts: 1}), [
      {kind: LifeEventKind.ADMITTED},
      {kind: LifeEventKind.CHOSEN, upstream: 'e1'},
      fault('r.1', AttemptFault.UNREACHABLE),
    ]);
    expect(failureOf(actions)).to.include({
      kind: ErrorKind.UPSTREAM_FAILED,
      ran: Ran.NO,
      retryAfterMs: 500,
    });
  });

  it('moves away from a silent upstream and cancels there', () => {
    const life = makeLife();
    play(life, [
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

  it('ends an admitted request past its limit before it sends anything', () => {
    const life = makeLife();
    const actions = life.handle({kind: LifeEventKind.ADMITTED}, 5000);
    expect(failureOf(actions)).to.include({
      kind: ErrorKind.TIME_LIMIT,
      ran: Ran.NO,
    });
    expect(actions.length).to.equal(1);
  });

  it('gives only whole, ordered answers and one end within the limit', () => {
    const upstreamEvent = fc.oneof(
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
      fc.property(fc.array(upstreamEvent, {maxLength: 60}), steps => {
        checkRun(steps);
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

/** Runs arbitrary upstream behaviour and checks what the caller gets. */
function checkRun(steps: readonly Step[]): void {
  const life = makeLife();
  let nowMs = 0;
  let running = '';
  let position = 0;
  const emitted: string[] = [];
  const ends: LifeAction[] = [];
  const feed = (event: LifeEvent): void => {
    for (const action of life.handle(event, nowMs)) {
      expect(ends).to.eql([]);
      if (action.kind === LifeActionKind.CHOOSE) {
        feed({kind: LifeEventKind.CHOSEN, upstream: `e${position}`});
      } else if (action.kind === LifeActionKind.START_ATTEMPT) {
        running = action.attempt;
        position = action.resumeFrom;
        expect(action.resumeFrom).to.equal(emitted.length);
        expect(action.limitMs).to.be.greaterThan(0);
      } else if (action.kind === LifeActionKind.EMIT) {
        emitted.push(action.text);
      } else if (action.kind !== LifeActionKind.CANCEL_ATTEMPT) {
        ends.push(action);
      }
    }
  };
  feed({kind: LifeEventKind.ADMITTED});
  for (const {step, position: at, attempt} of steps) {
    const name = attempt === 0 ? running : `r.${attempt}`;
    if (step === 'next' && position < ANSWER.length) {
      feed(text(running, position++));
    } else if (step === 'text') {
      const own = text(name, at);
      feed(name === running ? own : {...own, text: 'of another attempt'});
    } else if (step === 'end') {
      const wasOver = ends.length > 0;
      feed(end(name, at));
      if (!wasOver && ends[0]?.kind === LifeActionKind.FINISH) {
        expect({name, at}).to.eql({name: running, at: emitted.length});
      }
    } else if (step === 'fault') {
      feed(fault(name, AttemptFault.BROKEN));
    } else if (step === 'wait') {
      nowMs += at;
      if (life.wakeAtMs() <= nowMs) feed({kind: LifeEventKind.WAKE});
    }
    expect(ANSWER.slice(0, emitted.length)).to.eql(emitted);
  }
  nowMs = 1000;
  if (ends.length === 0) feed({kind: LifeEventKind.WAKE});
  expect(ends.length).to.equal(1);
  expect(life.wakeAtMs()).to.equal(Infinity);
}

function makeLife(options: Partial<LifeOptions> = {}): Life {
  return new Life({
    requestId: 'r',
    deadlineMs: 1000,
    silenceMs: 100,
    maxAttempts: 3,
    mayRetry: () => true,
    ...options,
  });
}

function play(life: Life, events: readonly LifeEvent[]): LifeAction[] {
  return events.flatMap(event => life.handle(event, 0));
}

function text(
  attempt: string,
  position: number,
): Extract<LifeEvent, {kind: LifeEventKind.TEXT}> {
  const kind = LifeEventKind.TEXT;
  return {kind, attempt, position, text: ANSWER[position] ?? ''};
}

function end(attempt: string, position: number): LifeEvent {
  return {
    kind: LifeEventKind.END,
    attempt,
    position,
    finish: Finish.STOP,
    usage: USAGE,
  };
}

function fault(attempt: string, fault: AttemptFault): LifeEvent {
  const kind = LifeEventKind.ATTEMPT_FAILED;
  return {kind, attempt, fault, detail: 'test'};
}

function start(
  attempt: string,
  upstream: string,
  resumeFrom: number,
  limitMs: number,
): LifeAction {
  const kind = LifeActionKind.START_ATTEMPT;
  return {kind, attempt, upstream, resumeFrom, limitMs};
}

function failureOf(actions: readonly LifeAction[]): Failure | undefined {
  const last = actions.at(-1);
  return last?.kind === LifeActionKind.FAIL ? last.failure : undefined;
}
