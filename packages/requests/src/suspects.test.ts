import {expect} from 'chai';
import fc from 'fast-check';
import {Suspects, Verdict} from './index.js';

const HOUR_MS = 3_600_000;
const SEED = 1;

describe('Suspects', () => {
  it('suspects after one crash and condemns after a second one alone', () => {
    const suspects = new Suspects();
    expect(judge(suspects, 'a')).to.equal(Verdict.CLEAR);
    suspects.takeCrash('a', 1, false, 0);
    expect(judge(suspects, 'a')).to.equal(Verdict.SUSPECT);
    expect(judge(suspects, 'b')).to.equal(Verdict.CLEAR);
    suspects.takeCrash('a', 1, true, 0);
    expect(judge(suspects, 'a')).to.equal(Verdict.CONDEMNED);
  });

  it('clears a suspect that answered alone, and a condemned one never', () => {
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

  it('does not hash bodies whose length is not held, and forgets', () => {
    const suspects = new Suspects();
    suspects.takeCrash('a', 1, true, 0);
    const fail = (): string => expect.fail('hashed without need');
    expect(suspects.judge(2, fail, 0)).to.equal(Verdict.CLEAR);
    expect(suspects.judge(1, () => 'a', HOUR_MS)).to.equal(Verdict.CLEAR);
    expect(suspects.judge(1, fail, HOUR_MS)).to.equal(Verdict.CLEAR);
  });

  it('gives a request two crashes at most and condemns no neighbour', () => {
    const schedule = fc.array(fc.array(fc.nat({max: 9}), {maxLength: 6}));
    fc.assert(
      fc.property(schedule, rounds => {
        const suspects = new Suspects();
        let crashes = 0;
        for (const neighbours of rounds) {
          const verdict = judge(suspects, 'bad');
          if (verdict === Verdict.CONDEMNED) break;
          crashes++;
          const wasAlone = verdict === Verdict.SUSPECT;
          suspects.takeCrash('bad', 1, wasAlone, 0);
          for (const name of neighbours) {
            const neighbour = `n${name}`;
            if (judge(suspects, neighbour) === Verdict.SUSPECT) {
              suspects.takeSuccess(neighbour, 1);
            } else {
              suspects.takeCrash(neighbour, 1, false, 0);
            }
            expect(judge(suspects, neighbour)).not.to.equal(Verdict.CONDEMNED);
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
