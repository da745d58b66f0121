import {expect} from 'chai';
import {CollectionPolicy} from './collection_policy.js';

const STEP_MS = 250;

/** Runs a host; returns the times of its collections, in ms. */
function run(readMb: (nowMs: number) => number, untilMs: number): number[] {
  const policy = new CollectionPolicy(250);
  const times: number[] = [];
  for (let nowMs = 0; nowMs < untilMs; nowMs += STEP_MS) {
    if (!policy.mustCollect(readMb(nowMs), nowMs)) continue;
    times.push(nowMs);
    policy.recordCollection(readMb(nowMs), nowMs);
  }
  return times;
}

describe('CollectionPolicy', () => {
  it('does nothing while memory is low', () => {
    expect(run(() => 120, 100_000)).to.deep.equal([]);
  });

  // Guards against a host that stops again and again for what it needs.
  it('collects rarely where collections free nothing', () => {
    expect(run(() => 190, 120_000)).to.have.length.below(9);
  });

  it('frees the rest, once, when memory is no longer needed', () => {
    const times = run(nowMs => (nowMs < 3_000 ? 190 : 130), 60_000);
    expect(times.filter(nowMs => nowMs > 3_000)).to.have.length(1);
  });
});
