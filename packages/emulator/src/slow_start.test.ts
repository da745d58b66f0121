import {join} from 'node:path';
import {expect} from 'chai';
import type {LoadPattern} from '@parsleywood/schema/load_pattern';
import {comparePolicies} from './compare_policies.js';
import {emulate} from './emulate.js';
import {PolicyName} from './policy_name.js';
import {readPattern} from './read_pattern.js';
import {RequestOutcome} from './request_outcome.js';
import type {RequestResult} from './request_result.js';

const PATTERN = readPattern(
  join(import.meta.dirname, '../patterns/slow-return.json'),
);
const STARTS_AT_MS = 4_000;
const SEEDS = Array.from({length: 10}, (_none, at) => at + 1);

/** Short prompts alone; one engine starts under load. */
function makePattern(changes: Partial<LoadPattern>): LoadPattern {
  return {
    ...PATTERN,
    bursts: [],
    crashes: [],
    durationMs: 9_000,
    ...changes,
  };
}

function makeKinds(perSecond: number): LoadPattern['kinds'] {
  const [kind] = PATTERN.kinds;
  return [{...kind, perSecond}];
}

/** Counts the callers that wait longer by more than their objective than others do. */
function countDelayed(
  results: readonly RequestResult[],
  others: readonly RequestResult[],
): number {
  const objectiveMs = PATTERN.kinds[0].objectiveMs;
  const firstsMs = new Map(
    others.map(({arrivedAtMs, firstMs}) => [arrivedAtMs, firstMs]),
  );
  return results.filter(({arrivedAtMs, firstMs}) => {
    const otherMs = firstsMs.get(arrivedAtMs);
    return (
      otherMs !== undefined && (firstMs ?? Infinity) > otherMs + objectiveMs
    );
  }).length;
}

describe('Slow start of emulated engines', () => {
  // Load pattern: engines start or come back under load, and are slow at first. Without
  // slow start they are flooded, as they hold nothing.
  it('earns more where engines that start or return are slow at first', () => {
    const sums = [PolicyName.PLANNED, PolicyName.PACED].map(policy =>
      SEEDS.flatMap(seed => comparePolicies(PATTERN, [policy], seed)).reduce(
        (total, {worth}) => total + worth,
        0,
      ),
    );
    expect(sums[1]).to.be.greaterThan(sums[0] ?? 0);
  });

  it('loses under 2% of what a warm engine could have served in its first 5 s', () => {
    const engines = 8;
    const pattern = makePattern({
      hosts: 6,
      newsDelayMs: 30,
      engines,
      kinds: makeKinds(80),
      starts: [{atMs: STARTS_AT_MS, engines: 1}],
    });
    const count = (policy: PolicyName): number =>
      SEEDS.flatMap(seed => emulate(pattern, policy, seed)).filter(
        ({arrivedAtMs, outcome}) =>
          arrivedAtMs >= STARTS_AT_MS && outcome === RequestOutcome.IN_TIME,
      ).length;
    const without = count(PolicyName.PLANNED);
    const ofOne = without / engines;
    expect(count(PolicyName.PACED)).to.be.at.least(without - 0.02 * ofOne);
  });

  // The target is none; what is left is in the design note.
  it('delays fewer callers at an engine that is four times slower than stated', () => {
    const countAll = (policy: PolicyName): number =>
      SEEDS.reduce((total, seed) => {
        const [slow = [], warm = []] = [4, 1.0001].map(slowFactor => {
          const start = {atMs: STARTS_AT_MS, engines: 1};
          const pattern = makePattern({
            hosts: 6,
            newsDelayMs: 30,
            engines: 4,
            kinds: makeKinds(10),
            starts: [{...start, slowFactor, slowMs: 20_000}],
          });
          return emulate(pattern, policy, seed);
        });
        return total + countDelayed(slow, warm);
      }, 0);
    const without = countAll(PolicyName.PLANNED);
    expect(without).to.be.greaterThan(0);
    expect(countAll(PolicyName.PACED)).to.be.lessThan(without);
  });
});
