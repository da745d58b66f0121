import {expect} from 'chai';
import {countCauses} from './count_causes.js';
import type {JoinedCrash} from './joined_crash.js';

const MAX_CAUSES = 3;

/** Creates one crash under each word; its letters are the requests that ran. */
function createCrashes(text: string): JoinedCrash[] {
  return text.split(' ').map((requests, atMs) => ({
    atMs,
    reports: [...requests].map(request => ({
      upstream: 'u',
      request,
      parts: [],
      scopes: [],
      wasAlone: true,
      startedAtMs: 0,
      crashedAtMs: atMs,
    })),
  }));
}

describe('countCauses', () => {
  it('finds the fewest requests, also without the one that explains most', () => {
    const crashes = createCrashes('xz xz x yz yz y');
    expect(countCauses(crashes, MAX_CAUSES)).to.equal(2);
  });

  it('counts up to its limit', () => {
    expect(countCauses([], MAX_CAUSES)).to.equal(0);
    expect(countCauses(createCrashes('x xy'), MAX_CAUSES)).to.equal(1);
    expect(countCauses(createCrashes('x y z w'), MAX_CAUSES)).to.equal(3);
  });
});
