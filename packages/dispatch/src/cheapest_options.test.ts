import {expect} from 'chai';
import fc from 'fast-check';
import {CheapestOptions} from './cheapest_options.js';
import {createIdleEngine} from './testing/create_idle_engine.js';

describe('CheapestOptions', () => {
  it('lists what a full sort lists first, and skips only what it would not list', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            ownCost: fc.integer({min: 0, max: 20}),
            othersLoss: fc.integer({min: 0, max: 20}),
          }),
          {maxLength: 60},
        ),
        fc.integer({min: 1, max: 17}),
        (costs, maxCount) => {
          const cheapest = new CheapestOptions(maxCount);
          const options = costs.map(({ownCost, othersLoss}, index) => ({
            cost: ownCost + othersLoss,
            ownCost,
            option: {
              engine: createIdleEngine(`e${index}`),
              finishMs: 0,
              passMs: 0,
              othersLossTokens: othersLoss,
            },
          }));
          for (const {option, ownCost, cost} of options) {
            if (cheapest.accepts(ownCost)) cheapest.add(option, cost);
          }
          const sorted = [...options].sort(
            (left, right) => left.cost - right.cost,
          );
          expect(cheapest.list()).to.deep.equal(
            sorted.slice(0, maxCount).map(({option}) => option),
          );
        },
      ),
      {seed: 1, numRuns: 300},
    );
  });
});
