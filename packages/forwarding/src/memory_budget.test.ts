import {expect} from 'chai';
import fc from 'fast-check';
import type {MemoryAccount} from './memory_account.js';
import {MemoryBudget} from './memory_budget.js';
import {MemoryKind} from './memory_kind.js';

const MEMORY_MB = 250;
const MB = 1_048_576;
const SMALL_BYTES = 4_000;
const LARGEST_BODY = 4 * MB;
const STALL_MS = 1_000;
const RUNS = {seed: 1, numRuns: 500};

/** One body: whose it is, its length, and whether its caller stops before its end. */
const BODY = fc.record({
  address: fc.integer({min: 0, max: 3}),
  bytes: fc.integer({min: 1, max: LARGEST_BODY}),
  stops: fc.boolean(),
  afterMs: fc.integer({min: 0, max: 200}),
});

function openBody(
  budget: MemoryBudget,
  address = 'a',
  nowMs = 0,
): MemoryAccount {
  return budget.open(MemoryKind.BODY, address, nowMs);
}

describe('MemoryBudget', () => {
  // Guards against hosts that end as many large bodies stop just before their end.
  it('holds within its bound what bodies take, and serves some of them', () => {
    fc.assert(
      fc.property(fc.array(BODY, {minLength: 1, maxLength: 100}), bodies => {
        const budget = new MemoryBudget(MEMORY_MB);
        const maxBytes = budget.getMaxBytes(MemoryKind.BODY) + LARGEST_BODY;
        const stopping = new Set<MemoryAccount>();
        let nowMs = 0;
        let served = 0;
        const settle = (account: MemoryAccount): void => {
          if (stopping.has(account)) return;
          budget.close(account, nowMs);
          served++;
        };
        for (const {address, bytes, stops, afterMs} of bodies) {
          nowMs += afterMs;
          const account = openBody(budget, String(address), nowMs);
          if (stops) stopping.add(account);
          if (budget.want(account, bytes, nowMs)) settle(account);
          for (const one of budget.grant(nowMs)) settle(one);
          expect(budget.getHeldBytes(MemoryKind.BODY)).to.be.at.most(maxBytes);
          for (const one of budget.listExpired(nowMs)) budget.close(one, nowMs);
        }
        nowMs += STALL_MS;
        let stalled = budget.chooseStalled(MemoryKind.BODY, nowMs);
        while (stalled !== undefined) {
          expect(stopping.has(stalled)).to.equal(true);
          budget.close(stalled, nowMs);
          for (const one of budget.grant(nowMs)) settle(one);
          nowMs += STALL_MS;
          stalled = budget.chooseStalled(MemoryKind.BODY, nowMs);
        }
        expect(budget.isUnderPressure).to.equal(false);
        expect(budget.getHeldBytes(MemoryKind.BODY)).to.equal(0);
        expect(served).to.be.at.least(bodies.some(({stops}) => !stops) ? 1 : 0);
      }),
      RUNS,
    );
  });

  // Guards against small requests that are refused beside large ones.
  it('has room for small bodies beside any number of large ones', () => {
    const sizes = fc.array(fc.integer({min: 65_537, max: LARGEST_BODY}), {
      minLength: 50,
      maxLength: 100,
    });
    fc.assert(
      fc.property(sizes, all => {
        const budget = new MemoryBudget(MEMORY_MB);
        for (const bytes of all) budget.want(openBody(budget), bytes, 0);
        for (let count = 0; count < 500; count++) {
          const isGranted = budget.take(openBody(budget), SMALL_BYTES, 0);
          expect(isGranted).to.equal(true);
        }
      }),
      RUNS,
    );
  });

  // Guards against one client that keeps the large bodies of all others out.
  it('leaves room for large bodies of a second address', () => {
    const budget = new MemoryBudget(MEMORY_MB);
    for (let count = 0; count < 100; count++) {
      budget.want(openBody(budget, 'a'), LARGEST_BODY, 0);
    }
    const other = openBody(budget, 'b');
    expect(budget.take(other, LARGEST_BODY, 0)).to.equal(true);
  });

  // Guards against a limit of the configuration that no request could use.
  it('serves a single body of any size in calm', () => {
    const budget = new MemoryBudget(MEMORY_MB);
    budget.take(openBody(budget), SMALL_BYTES, 0);
    expect(budget.take(openBody(budget), 500 * MB, 0)).to.equal(true);
  });

  it('ends the longest stalled first, and the largest among them', () => {
    const budget = new MemoryBudget(MEMORY_MB);
    const [late, small, large] = [2_000, 0, 0].map((nowMs, at) => {
      const account = openBody(budget);
      budget.record(account, (at + 1) * MB, nowMs);
      return account;
    });
    for (const expected of [large, small, late]) {
      const chosen = budget.chooseStalled(MemoryKind.BODY, 5_000);
      expect(chosen).to.equal(expected);
      if (chosen) budget.close(chosen, 5_000);
    }
  });
});
