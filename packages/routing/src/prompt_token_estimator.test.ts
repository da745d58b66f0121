import {expect} from 'chai';
import fc from 'fast-check';

import {agePriority} from './age_priority.js';
import {PromptTokenEstimator} from './prompt_token_estimator.js';

describe('PromptTokenEstimator', () => {
  it('learns the bytes per token of an account and model', () => {
    const estimator = new PromptTokenEstimator(() => 4);
    expect(estimator.estimateTokens('x', 'm', 4000)).equal(1000);
    for (let count = 0; count < 50; count++) {
      const usage = {account: 'x', model: 'm', bytes: 4000, tokens: 2000};
      estimator.observeUsage(usage);
    }
    expect(estimator.estimateTokens('x', 'm', 4000)).within(1950, 2000);
    expect(estimator.estimateTokens('y', 'm', 4000)).equal(1000);
  });

  it('stays within its bounds for any reported usage', () => {
    const number = fc.double({noDefaultInfinity: false});
    const property = fc.property(
      fc.array(fc.tuple(number, number)),
      reports => {
        const estimator = new PromptTokenEstimator(() => 4);
        for (const [bytes, tokens] of reports) {
          estimator.observeUsage({account: 'x', model: 'm', bytes, tokens});
        }
        expect(estimator.estimateTokens('x', 'm', 1600)).within(100, 3200);
      },
    );
    fc.assert(property, {seed: 1, numRuns: 300});
  });
});

describe('agePriority', () => {
  it('decreases the number step by step, to 0 when no slack is left', () => {
    const property = fc.property(
      fc.integer({min: 0, max: 9}),
      fc.integer({min: -1000, max: 100_000}),
      (priority, latestMs) => {
        let nowMs = 0;
        let last = 10;
        for (let steps = 0; nowMs < latestMs; steps++) {
          const aged = agePriority(priority, 0, latestMs, nowMs);
          expect(aged.priority).below(last);
          expect(steps).most(10);
          last = aged.priority;
          nowMs = aged.changesAtMs;
        }
        const end = Math.max(0, latestMs);
        expect(agePriority(priority, 0, latestMs, end).priority).equal(0);
      },
    );
    fc.assert(property, {seed: 1, numRuns: 300});
  });
});
