import {expect} from 'chai';
import fc from 'fast-check';
import type {ExpectedEvent} from './expected_event.js';
import {PaceReason} from './pace_reason.js';
import {UpstreamPace} from './upstream_pace.js';

const SLOTS = 8;
const EXPECTED: ExpectedEvent = {
  forecastMs: 100,
  limitMs: 200,
  partsMs: new Map([['u', 100]]),
  workMs: 0,
  endsWithAnswer: false,
};
const NO_MEMORY_LIMIT = {tokens: 0, maxTokens: Infinity};

function startPace(): UpstreamPace {
  const pace = new UpstreamPace();
  pace.start('u', SLOTS, 0);
  return pace;
}

/** Returns the number of requests that may be held. */
function countAllowed(pace: UpstreamPace, nowMs: number): number {
  let requests = 0;
  while (
    requests <= SLOTS &&
    pace.mayTake('u', 0, {...NO_MEMORY_LIMIT, requests}, nowMs)
  ) {
    requests++;
  }
  return requests;
}

function answer(pace: UpstreamPace, id: string, atMs: number, ms: number) {
  pace.recordStart(id, ['u'], EXPECTED, atMs);
  pace.recordFirstEvent(id, atMs + ms);
}

describe('UpstreamPace', () => {
  // Load pattern: all hosts send to an upstream at once that holds nothing.
  it('keeps a returning upstream from being flooded before it has answered', () => {
    expect(countAllowed(startPace(), 0)).to.equal(SLOTS / 2);
    const held = {requests: 1, tokens: 30_000, maxTokens: 80_000};
    const pace = startPace();
    expect(pace.mayTake('u', 9_000, held, 0)).to.equal(true);
    expect(pace.mayTake('u', 11_000, held, 0)).to.equal(false);
  });

  it('opens an upstream that was warm after all within four first events', () => {
    const pace = startPace();
    for (const id of ['a', 'b', 'c', 'd']) answer(pace, id, 0, 100);
    expect(pace.isActive).to.equal(false);
    const changes = pace.takeChanges();
    expect(changes.map(({reason}) => reason)).to.deep.equal([
      PaceReason.STARTED,
      PaceReason.IN_TIME,
    ]);
  });

  it('takes load from an upstream that is four times slower than stated', () => {
    const pace = startPace();
    for (const id of ['a', 'b', 'c', 'd']) answer(pace, id, 0, 400);
    expect(countAllowed(pace, 400)).to.equal(1);
    expect(pace.getSlowdownFactor('u')).to.equal(4);
  });

  // A small part of a split prompt is done in time, however slow its engine is.
  it('takes answers that other engines have delayed for little proof', () => {
    const pace = startPace();
    const partsMs = new Map([['u', 20]]);
    for (const id of ['a', 'b', 'c']) {
      pace.recordStart(id, ['u'], {...EXPECTED, partsMs}, 0);
      pace.recordFirstEvent(id, 100);
    }
    expect(pace.isOnProbation('u')).to.equal(true);
    expect(pace.getSlowdownFactor('u')).to.be.within(2, 3);
  });

  // Of a split prompt, a part of 10 ms explains no delay of a second.
  it('blames no engine for a delay that its part cannot explain', () => {
    const pace = startPace();
    const partsMs = new Map([
      ['u', 10],
      ['other', 100],
    ]);
    pace.recordStart('a', ['u'], {...EXPECTED, partsMs}, 0);
    pace.recordFirstEvent('a', 1_000);
    expect(countAllowed(pace, 1_000)).to.equal(SLOTS / 2);
  });

  it('takes a first event whose message is lost for late', () => {
    const pace = startPace();
    pace.recordStart('a', ['u'], EXPECTED, 0);
    pace.advance(650);
    expect(countAllowed(pace, 650)).to.equal(4);
    pace.advance(651);
    expect(countAllowed(pace, 651)).to.equal(2);
    // The end counts no second time.
    pace.recordEnd('a', false, 700);
    expect(countAllowed(pace, 700)).to.equal(2);
  });

  it('takes the end of a plain call for its answer, unless it has failed', () => {
    const plain = {limitMs: 300, partsMs: new Map(), workMs: 0};
    const pace = startPace();
    pace.recordStart('a', ['u'], {...plain, endsWithAnswer: true}, 0);
    pace.recordEnd('a', false, 50);
    expect(countAllowed(pace, 50)).to.equal(SLOTS);
    pace.recordStart('b', ['u'], {...plain, endsWithAnswer: true}, 50);
    pace.recordEnd('b', true, 60);
    expect(countAllowed(pace, 60)).to.equal(SLOTS / 2);
    pace.recordFailure('u');
    expect(countAllowed(pace, 60)).to.equal(1);
  });

  it('names a wait that ends when a first event is expected', () => {
    const pace = startPace();
    pace.recordStart('a', ['u'], EXPECTED, 0);
    expect(pace.planReturnMs(['u', 'other'], 100)).to.equal(300);
    expect(pace.planReturnMs(['other'], 100)).to.equal(0);
  });

  // Messages come late, twice, in any order, or never.
  it('ends by itself, and always lets an idle upstream take a request', () => {
    const event = fc.record({
      kind: fc.constantFrom('start', 'first', 'end', 'failure', 'pass'),
      id: fc.integer({min: 0, max: 9}),
      afterMs: fc.integer({min: 0, max: 400}),
    });
    const property = fc.property(
      fc.array(event, {maxLength: 60}),
      fc.integer({min: 1, max: 20}),
      (events, slots) => {
        const pace = new UpstreamPace();
        pace.start('u', slots, 0);
        let nowMs = 0;
        for (const {kind, id, afterMs} of events) {
          nowMs = Math.min(nowMs + afterMs, 9_999);
          const name = String(id);
          if (kind === 'start') pace.recordStart(name, ['u'], EXPECTED, nowMs);
          if (kind === 'first') pace.recordFirstEvent(name, nowMs);
          if (kind === 'end') pace.recordEnd(name, false, nowMs);
          if (kind === 'failure') pace.recordFailure('u');
          if (kind === 'pass') pace.recordPassTimeRatio('u', 1 + id);
          pace.advance(nowMs);
          const idle = {tokens: 0, maxTokens: 1, requests: 0};
          expect(pace.mayTake('u', 1e6, idle, nowMs)).to.equal(true);
          expect(pace.totalWindow).to.be.within(pace.size, slots);
          expect(pace.getSlowdownFactor('u')).to.be.within(1, 10);
        }
        pace.advance(10_000);
        expect(pace.isActive).to.equal(false);
        expect(countAllowed(pace, 10_000)).to.be.greaterThan(SLOTS);
      },
    );
    fc.assert(property, {seed: 1, numRuns: 500});
  });
});
