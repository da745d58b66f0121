import type {Decision} from '@parsleywood/types';
import {expect} from 'chai';
import fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {SpreadAction} from './spread_action.js';
import {SpreadActionKind} from './spread_action_kind.js';
import type {SpreadEvent} from './spread_event.js';
import {SpreadEventKind} from './spread_event_kind.js';
import {SpreadPlan} from './spread_plan.js';
import {SpreadSimulation} from './spread_simulation.test.js';

const MEMORY_TOKENS = 1000;
const LEASE_MS = 3000;
const LIMIT_MS = 60_000;
const RUN_MS = 2000;
const ENGINES = ['e0', 'e1', 'e2', 'e3', 'e4'];

function plans(count: number) {
  return new Map(
    Array.from({length: count}, (_, index) => [
      `host-${index}`,
      new SpreadPlan({
        host: `host-${index}`,
        random: xoroshiro128plus(index + 1),
        leaseMs: LEASE_MS,
        answerTimeoutMs: 500,
      }),
    ]),
  );
}

/** Asks two engines in its own order, keeps what it has and waits for the rest. */
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
    return [{...ask, leaseMs: Infinity, askedMs: 0}];
  }

  wakeAtMs(): number {
    return Infinity;
  }

  private release(engine: string): SpreadAction {
    const {id} = this;
    return {kind: SpreadActionKind.RELEASE, id, reservation: id, engine};
  }
}

const NEEDS = fc.array(
  fc.record({
    atMs: fc.integer({min: 1, max: 3000}),
    host: fc.integer({min: 0, max: 3}),
    tokens: fc.integer({min: 1001, max: 5000}),
  }),
  {minLength: 1, maxLength: 8},
);

describe('SpreadPlan', () => {
  it('is needed: hosts that hold and wait block each other for good', () => {
    const virtual = new SpreadSimulation({
      hosts: new Map([
        ['a', new HoldAndWaitPlan(['e0', 'e1'])],
        ['b', new HoldAndWaitPlan(['e1', 'e0'])],
      ]),
      engines: ['e0', 'e1'],
      memoryTokens: MEMORY_TOKENS,
      runMs: RUN_MS,
      travel: () => 1,
    });
    virtual.need(1, 'a', 'x', 2000, LIMIT_MS);
    virtual.need(1, 'b', 'y', 2000, LIMIT_MS);
    virtual.run(LIMIT_MS);
    expect([...virtual.ends]).deep.equal([]);
    expect(virtual.usedTokens()).equal(2 * MEMORY_TOKENS);
  });

  it('runs every prompt of several hosts one after another', () => {
    const property = fc.property(NEEDS, needs => {
      const virtual = new SpreadSimulation({
        hosts: plans(4),
        engines: ENGINES,
        memoryTokens: MEMORY_TOKENS,
        runMs: RUN_MS,
        travel: () => 1,
      });
      needs.forEach(({atMs, host, tokens}, index) =>
        virtual.need(atMs, `host-${host}`, `p${index}`, tokens, LIMIT_MS),
      );
      virtual.run(2 * LIMIT_MS);
      const kinds = needs.map(
        (_, index) => virtual.ends.get(`p${index}`)?.kind,
      );
      expect(kinds).deep.equal(needs.map(() => SpreadActionKind.START));
      expect(virtual.faults).deep.equal([]);
      expect(virtual.usedTokens()).equal(0);
    });
    fc.assert(property, {seed: 1, numRuns: 200});
  });

  it('ends all and frees all memory under losses, deaths, pauses and restarts', () => {
    const fault = fc.record({
      atMs: fc.integer({min: 1, max: 8000}),
      host: fc.integer({min: 0, max: 3}),
      engine: fc.constantFrom(...ENGINES),
      kind: fc.constantFrom('kill', 'pause', 'crash'),
    });
    const travel = fc.array(
      fc.option(fc.integer({min: 1, max: 900}), {freq: 8}),
      {minLength: 1, maxLength: 40},
    );
    const property = fc.property(
      NEEDS,
      fc.array(fault, {maxLength: 4}),
      travel,
      (needs, faults, delays) => {
        let sent = 0;
        const virtual = new SpreadSimulation({
          hosts: plans(4),
          engines: ENGINES,
          memoryTokens: MEMORY_TOKENS,
          runMs: RUN_MS,
          travel: () => delays[sent++ % delays.length] ?? undefined,
        });
        const killed = new Set<number>();
        for (const {atMs, host, engine, kind} of faults) {
          if (kind === 'kill') killed.add(host);
          if (kind === 'kill') virtual.kill(atMs, `host-${host}`);
          if (kind === 'pause') virtual.pause(atMs, `host-${host}`, 5000);
          if (kind === 'crash') virtual.crash(atMs, engine);
        }
        needs.forEach(({atMs, host, tokens}, index) =>
          virtual.need(atMs, `host-${host}`, `p${index}`, tokens, LIMIT_MS),
        );
        virtual.run(2 * LIMIT_MS);
        needs.forEach(({host}, index) => {
          const end = virtual.ends.get(`p${index}`);
          if (!killed.has(host)) expect(end, `p${index}`).not.equal(undefined);
        });
        expect(virtual.faults).deep.equal([]);
        expect(virtual.usedTokens()).equal(0);
      },
    );
    fc.assert(property, {seed: 1, numRuns: 500});
  });

  it('holds nothing while it waits, and refuses at once what fits nowhere', () => {
    const [plan] = [...plans(1).values()];
    const engines = [{name: 'e0', model: 'm', memoryTokens: MEMORY_TOKENS}];
    plan!.handle({kind: SpreadEventKind.ENGINES, engines}, 0);
    const actions = plan!.handle(
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
    expect(plan!.wakeAtMs()).equal(Infinity);
  });
});
