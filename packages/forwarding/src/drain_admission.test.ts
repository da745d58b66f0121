import {expect} from 'chai';
import fc from 'fast-check';
import {DrainAdmission} from './drain_admission.js';
import {DurationHistory} from './duration_history.js';
import {RequestKind} from './request_kind.js';

const REFUSES_FROM_MS = 3_000;
const CLOSES_AT_MS = 7_000;
const CALL = {
  name: 'call',
  kind: RequestKind.NON_IDEMPOTENT,
  resumable: false,
};
const QUERY = {...CALL, name: 'query', kind: RequestKind.IDEMPOTENT};
const STREAM = {...CALL, name: 'stream', kind: RequestKind.STREAM};
const RESUMABLE = {...STREAM, name: 'resumable', resumable: true};

describe('DrainAdmission', () => {
  const times = fc.integer({min: 0, max: 10_000});
  const durations = fc.array(times, {maxLength: 50});

  function create(samples: number[]): DrainAdmission {
    const history = new DurationHistory();
    for (const {name} of [CALL, QUERY, STREAM, RESUMABLE]) {
      for (const durationMs of samples) history.record(name, durationMs);
    }
    return new DrainAdmission(history, REFUSES_FROM_MS, CLOSES_AT_MS);
  }

  it('accepts a request that runs only once if its whole time limit fits', () => {
    fc.assert(
      fc.property(times, times, durations, (nowMs, limitMs, samples) => {
        const deadlineMs = nowMs + limitMs;
        for (const route of [CALL, STREAM]) {
          if (!create(samples).mayAccept(route, deadlineMs, nowMs)) continue;
          expect(deadlineMs).to.be.below(CLOSES_AT_MS);
          expect(nowMs).to.be.below(REFUSES_FROM_MS);
        }
      }),
      {seed: 1, numRuns: 200},
    );
  });

  it('accepts a request that may run again if it ends as recent ones did', () => {
    fc.assert(
      fc.property(times, durations, (nowMs, samples) => {
        const admission = create(samples);
        for (const route of [QUERY, RESUMABLE]) {
          if (!admission.mayAccept(route, Infinity, nowMs)) continue;
          expect(samples).not.to.deep.equal([]);
          const longestMs = Math.max(...samples.slice(-32));
          expect(nowMs + longestMs).to.be.below(CLOSES_AT_MS);
          expect(nowMs).to.be.below(REFUSES_FROM_MS);
        }
      }),
      {seed: 1, numRuns: 200},
    );
  });

  it('serves short requests as long as callers use the address', () => {
    const nowMs = REFUSES_FROM_MS - 1;
    const admission = create(new Array<number>(8).fill(2_000));
    expect(admission.mayAccept(QUERY, Infinity, nowMs)).to.equal(true);
    expect(admission.mayAccept(CALL, nowMs + 3_000, nowMs)).to.equal(true);
    expect(admission.mayAccept(CALL, Infinity, nowMs)).to.equal(false);
    expect(create([2_000]).mayAccept(QUERY, Infinity, 0)).to.equal(false);
  });
});
