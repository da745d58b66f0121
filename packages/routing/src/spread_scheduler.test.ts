import type {Decision} from '@parsleywood/types';
import {expect} from 'chai';
import fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {SpreadAction} from './spread_action.js';
import {SpreadActionKind} from './spread_action_kind.js';
import type {SpreadEvent} from './spread_event.js';
import {SpreadEventKind} from './spread_event_kind.js';
import {SpreadScheduler} from './spread_scheduler.js';
import {SpreadSimulation} from './spread_simulation.test.js';

const MEMORY_TOKENS = 1000;
const LEASE_MS = 3000;
const LIMIT_MS = 60_000;
const RUN_MS = 2000;
const ENGINES = ['e0', 'e1', 'e2', 'e3', 'e4'];

function createSchedulers(count: number) {
  return new Map(
    Array.from({length: count}, (_, index) => [
      `host-${index}`,
      new SpreadScheduler({
        host: `host-${index}`,
        random: xoroshiro128plus(index + 1),
        leaseMs: LEASE_MS,
        answerTimeoutMs: 500,
      }),
    ]),
  );
}

/**
 * Reserves two engines in the given order and holds the first while it waits for
 * the second.
 */
class HoldAndWaitPlan implements Decision<SpreadEvent, SpreadAction> {
  private held: string[] = [];
  private id = '';

  constructor(private readonly engines: readonly string[]) {}

  handle(event: SpreadEvent): SpreadAction[] {
    if (event.kind === SpreadEventKind.NEEDED) this.id = event.id;
    if (this.id === '' || event.kind === SpreadEventKind.ENGINES) return [];
    if (event.kind === SpreadEventKind.RESERVED) this.held.push(event.engine);
    if (event.kind === SpreadEventKind.ENDED) {
      return this.held.splice(0).map(engine => this.release(engine));
    }
    const next = this.engines[this.held.length];
    const {id, engines} = this;
    if (next === undefined) {
      return [{kind: SpreadActionKind.START, id, reservation: id, engines}];
    }
    const kind = SpreadActionKind.RESERVE as const;
    const tokens = MEMORY_TOKENS;
    const ask = {kind, id, reservation: id, engine: next, tokens};
    return [{...ask, leaseMs: Infinity, requestedAtMs: 0}];
  }

  wakeAtMs(): number {
    return Infinity;
  }

  private release(engine: string): SpreadAction {
    const {id} = this;
    return {kind: SpreadActionKind.RELEASE, id, reservation: id, engine};
  }
}

const SUBMISSIONS = fc.array(
  fc.record({
    atMs: fc.integer({min: 1, max: 3000}),
    host: fc.integer({min: 0, max: 3}),
    tokens: fc.integer({min: 1001, max: 5000}),
  }),
  {minLength: 1, maxLength: 8},
);

describe('SpreadScheduler', () => {
  it('is needed: hosts that hold and wait in different orders deadlock', () => {
    const simulation = new SpreadSimulation({
      hosts: new Map([
        ['a', new HoldAndWaitPlan(['e0', 'e1'])],
        ['b', new HoldAndWaitPlan(['e1', 'e0'])],
      ]),
      engines: ['e0', 'e1'],
      memoryTokens: MEMORY_TOKENS,
      runMs: RUN_MS,
      drawDelayMs: () => 1,
    });
    simulation.submitPrompt(1, 'a', 'x', 2000, LIMIT_MS);
    simulation.submitPrompt(1, 'b', 'y', 2000, LIMIT_MS);
    simulation.run(LIMIT_MS);
    expect([...simulation.outcomes]).deep.equal([]);
    expect(simulation.sumReservedTokens()).equal(2 * MEMORY_TOKENS);
  });

  it('runs every prompt of several hosts that compete for the same engines', () => {
    const property = fc.property(SUBMISSIONS, submissions => {
      const simulation = new SpreadSimulation({
        hosts: createSchedulers(4),
        engines: ENGINES,
        memoryTokens: MEMORY_TOKENS,
        runMs: RUN_MS,
        drawDelayMs: () => 1,
      });
      submissions.forEach(({atMs, host, tokens}, index) =>
        simulation.submitPrompt(
          atMs,
          `host-${host}`,
          `p${index}`,
          tokens,
          LIMIT_MS,
        ),
      );
      simulation.run(2 * LIMIT_MS);
      const kinds = submissions.map(
        (_, index) => simulation.outcomes.get(`p${index}`)?.kind,
      );
      expect(kinds).deep.equal(submissions.map(() => SpreadActionKind.START));
      expect(simulation.violations).deep.equal([]);
      expect(simulation.sumReservedTokens()).equal(0);
    });
    fc.assert(property, {seed: 1, numRuns: 200});
  });

  it('ends every prompt and frees all memory despite lost messages, killed or paused hosts and engine restarts', () => {
    const failure = fc.record({
      atMs: fc.integer({min: 1, max: 8000}),
      host: fc.integer({min: 0, max: 3}),
      engine: fc.constantFrom(...ENGINES),
      kind: fc.constantFrom('kill', 'pause', 'crash'),
    });
    const delays = fc.array(
      fc.option(fc.integer({min: 1, max: 900}), {freq: 8}),
      {minLength: 1, maxLength: 40},
    );
    const property = fc.property(
      SUBMISSIONS,
      fc.array(failure, {maxLength: 4}),
      delays,
      (submissions, failures, delays) => {
        let messageCount = 0;
        const simulation = new SpreadSimulation({
          hosts: createSchedulers(4),
          engines: ENGINES,
          memoryTokens: MEMORY_TOKENS,
          runMs: RUN_MS,
          drawDelayMs: () =>
            delays[messageCount++ % delays.length] ?? undefined,
        });
        const killed = new Set<number>();
        for (const {atMs, host, engine, kind} of failures) {
          if (kind === 'kill') killed.add(host);
          if (kind === 'kill') simulation.kill(atMs, `host-${host}`);
          if (kind === 'pause') simulation.pause(atMs, `host-${host}`, 5000);
          if (kind === 'crash') simulation.restartEngine(atMs, engine);
        }
        submissions.forEach(({atMs, host, tokens}, index) =>
          simulation.submitPrompt(
            atMs,
            `host-${host}`,
            `p${index}`,
            tokens,
            LIMIT_MS,
          ),
        );
        simulation.run(2 * LIMIT_MS);
        submissions.forEach(({host}, index) => {
          const end = simulation.outcomes.get(`p${index}`);
          if (!killed.has(host)) expect(end, `p${index}`).not.equal(undefined);
        });
        expect(simulation.violations).deep.equal([]);
        expect(simulation.sumReservedTokens()).equal(0);
      },
    );
    fc.assert(property, {seed: 1, numRuns: 500});
  });

  it('refuses a prompt immediately, and schedules no wake-up, if all engines together have too little memory', () => {
    const [scheduler] = [...createSchedulers(1).values()];
    const engines = [{name: 'e0', model: 'm', memoryTokens: MEMORY_TOKENS}];
    scheduler!.handle({kind: SpreadEventKind.ENGINES, engines}, 0);
    const actions = scheduler!.handle(
      {
        kind: SpreadEventKind.NEEDED,
        id: 'p',
        model: 'm',
        tokens: 5000,
        latestStartMs: 100,
      },
      1,
    );
    expect(actions.map(({kind}) => kind)).deep.equal([SpreadActionKind.REFUSE]);
    expect(scheduler!.wakeAtMs()).equal(Infinity);
  });
});
