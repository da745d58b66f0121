import {expect} from 'chai';
import fc from 'fast-check';
import {SharedRetryBudget} from './shared_retry_budget.js';

const RATIO = 0.2;
const SLACK = 106;
const WINDOW_MS = 10_000;

describe('SharedRetryBudget', () => {
  it('keeps the retries of all hosts within the budget in every window', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 12}),
        fc.array(
          fc.record({
            host: fc.nat(11),
            waitMs: fc.nat(120),
            retries: fc.nat(4),
          }),
          {minLength: 50, maxLength: 400},
        ),
        (hosts, steps) => {
          const budgets = Array.from(
            {length: hosts},
            () => new SharedRetryBudget(RATIO, SLACK, WINDOW_MS),
          );
          let nowMs = 0;
          const requests: number[] = [];
          const retries: number[] = [];
          for (const step of steps) {
            nowMs += step.waitMs;
            const budget = budgets[step.host % hosts]!;
            budget.recordRequest(nowMs);
            requests.push(nowMs);
            for (let count = 0; count < step.retries; count++) {
              if (budget.tryRetry(hosts, nowMs)) retries.push(nowMs);
            }
            const isInWindow = (time: number): boolean =>
              time > nowMs - WINDOW_MS;
            const allowed = RATIO * requests.filter(isInWindow).length + SLACK;
            expect(retries.filter(isInWindow).length).to.be.at.most(allowed);
          }
        },
      ),
      {seed: 1, numRuns: 40},
    );
  });

  it('allows retries again after the window has passed', () => {
    const budget = new SharedRetryBudget(0, 10, WINDOW_MS);
    let taken = 0;
    while (budget.tryRetry(1, 0)) taken++;
    expect(taken).to.equal(8);
    expect(budget.tryRetry(1, WINDOW_MS - 1)).to.equal(false);
    expect(budget.tryRetry(1, WINDOW_MS)).to.equal(true);
  });
});
