import {expect} from 'chai';
import fc from 'fast-check';
import {Suspects, Verdict} from './index.js';

const HOUR_MS = 3_600_000;
const SEED = 1;

describe('Suspects', () => {
  it('marks a request suspect after one crash and condemned after a second one in isolation', () => {
    const suspects = new Suspects();
    expect(judge(suspects, 'a')).to.equal(Verdict.CLEAR);
    suspects.takeCrash('a', 1, false, 0);
    expect(judge(suspects, 'a')).to.equal(Verdict.SUSPECT);
    expect(judge(suspects, 'b')).to.equal(Verdict.CLEAR);
    suspects.takeCrash('a', 1, true, 0);
    expect(judge(suspects, 'a')).to.equal(Verdict.CONDEMNED);
  });

  it('clears a suspect that succeeds in isolation and never clears a condemned request', () => {
    const suspects = new Suspects();
    suspects.takeCrash('a', 1, false, 0);
    expect(suspects.takeSuccess('a', 1)?.verdict).to.equal(Verdict.CLEAR);
    expect(judge(suspects, 'a')).to.equal(Verdict.CLEAR);
    suspects.takeCrash('a', 1, true, 0);
    suspects.takeNews(
      {fingerprint: 'a', bodyBytes: 1, verdict: Verdict.CLEAR},
      0,
    );
    expect(suspects.takeSuccess('a', 1)).to.equal(undefined);
    expect(judge(suspects, 'a')).to.equal(Verdict.CONDEMNED);
  });

  it('hashes only bodies of a recorded length and lets records expire', () => {
    const suspects = new Suspects();
    suspects.takeCrash('a', 1, true, 0);
    const fail = (): string =>
      expect.fail(
        'computed the fingerprint of a body whose length has no record',
      );
    expect(suspects.judge(2, fail, 0)).to.equal(Verdict.CLEAR);
    expect(suspects.judge(1, () => 'a', HOUR_MS)).to.equal(Verdict.CLEAR);
    expect(suspects.judge(1, fail, HOUR_MS)).to.equal(Verdict.CLEAR);
  });

  it('limits a request to two crashes and condemns no request that ran beside it', () => {
    const schedule = fc.array(fc.array(fc.nat({max: 9}), {maxLength: 6}));
    fc.assert(
      fc.property(schedule, rounds => {
        const suspects = new Suspects();
        let crashes = 0;
        for (const coRunning of rounds) {
          const verdict = judge(suspects, 'bad');
          if (verdict === Verdict.CONDEMNED) break;
          crashes++;
          const wasIsolated = verdict === Verdict.SUSPECT;
          suspects.takeCrash('bad', 1, wasIsolated, 0);
          for (const name of coRunning) {
            const coRunningRequest = `n${name}`;
            if (judge(suspects, coRunningRequest) === Verdict.SUSPECT) {
              suspects.takeSuccess(coRunningRequest, 1);
            } else {
              suspects.takeCrash(coRunningRequest, 1, false, 0);
            }
            expect(judge(suspects, coRunningRequest)).not.to.equal(
              Verdict.CONDEMNED,
            );
          }
        }
        expect(crashes).to.be.at.most(2);
      }),
      {seed: SEED, numRuns: 500},
    );
  });
});

function judge(suspects: Suspects, fingerprint: string): Verdict {
  return suspects.judge(1, () => fingerprint, 0);
}
