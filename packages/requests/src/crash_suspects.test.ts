import {expect} from 'chai';
import fc from 'fast-check';
import {CrashSuspects, CrashStatus} from './index.js';

const HOUR_MS = 3_600_000;
const SEED = 1;

describe('CrashSuspects', () => {
  it('marks a request suspect after one crash and blocked after a second one in isolation', () => {
    const suspects = new CrashSuspects();
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.CLEAR);
    suspects.recordCrash('a', 1, false, 0);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.SUSPECT);
    expect(findStatus(suspects, 'b')).to.equal(CrashStatus.CLEAR);
    suspects.recordCrash('a', 1, true, 0);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.BLOCKED);
  });

  it('clears a suspect that succeeds in isolation and never clears a blocked request', () => {
    const suspects = new CrashSuspects();
    suspects.recordCrash('a', 1, false, 0);
    expect(suspects.recordSuccess('a', 1)?.verdict).to.equal(CrashStatus.CLEAR);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.CLEAR);
    suspects.recordCrash('a', 1, true, 0);
    suspects.applyUpdate(
      {fingerprint: 'a', bodyBytes: 1, verdict: CrashStatus.CLEAR},
      0,
    );
    expect(suspects.recordSuccess('a', 1)).to.equal(undefined);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.BLOCKED);
  });

  it('hashes only bodies of a recorded length and lets records expire', () => {
    const suspects = new CrashSuspects();
    suspects.recordCrash('a', 1, true, 0);
    const fail = (): string =>
      expect.fail(
        'computed the fingerprint of a body whose length has no record',
      );
    expect(suspects.findStatus(2, fail, 0)).to.equal(CrashStatus.CLEAR);
    expect(suspects.findStatus(1, () => 'a', HOUR_MS)).to.equal(
      CrashStatus.CLEAR,
    );
    expect(suspects.findStatus(1, fail, HOUR_MS)).to.equal(CrashStatus.CLEAR);
  });

  it('limits a request to two crashes and blocks no request that ran beside it', () => {
    const schedule = fc.array(fc.array(fc.nat({max: 9}), {maxLength: 6}));
    fc.assert(
      fc.property(schedule, rounds => {
        const suspects = new CrashSuspects();
        let crashes = 0;
        for (const coRunning of rounds) {
          const status = findStatus(suspects, 'bad');
          if (status === CrashStatus.BLOCKED) break;
          crashes++;
          const wasIsolated = status === CrashStatus.SUSPECT;
          suspects.recordCrash('bad', 1, wasIsolated, 0);
          for (const name of coRunning) {
            const coRunningRequest = `n${name}`;
            if (
              findStatus(suspects, coRunningRequest) === CrashStatus.SUSPECT
            ) {
              suspects.recordSuccess(coRunningRequest, 1);
            } else {
              suspects.recordCrash(coRunningRequest, 1, false, 0);
            }
            expect(findStatus(suspects, coRunningRequest)).not.to.equal(
              CrashStatus.BLOCKED,
            );
          }
        }
        expect(crashes).to.be.at.most(2);
      }),
      {seed: SEED, numRuns: 500},
    );
  });
});

function findStatus(suspects: CrashSuspects, fingerprint: string): CrashStatus {
  return suspects.findStatus(1, () => fingerprint, 0);
}
