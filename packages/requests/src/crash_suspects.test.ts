import {expect} from 'chai';
import fc from 'fast-check';
import {CrashSuspects, CrashStatus, type SuspectUpdate} from './index.js';

const HOUR_MS = 3_600_000;
const SEED = 1;
const TABLE_SIZE = 4_096;
const SHARED = {fingerprint: 'a', bodyBytes: 1, hadLease: true};

describe('CrashSuspects', () => {
  it('marks a request suspect after one crash and blocked after a second one in isolation', () => {
    const suspects = new CrashSuspects();
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.CLEAR);
    recordCrash(suspects, 'a', false);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.SUSPECT);
    expect(findStatus(suspects, 'b')).to.equal(CrashStatus.CLEAR);
    recordCrash(suspects, 'a', true);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.BLOCKED);
  });

  // Streams of a crashed upstream were cut off by hosts that had just started.
  it('blocks no request after one crash in the first seconds of a host', () => {
    const suspects = new CrashSuspects(1_500);
    recordCrash(suspects, 'a', false);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.SUSPECT);
    recordCrash(suspects, 'a', true);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.BLOCKED);
  });

  it('clears a suspect that succeeds in isolation and never clears a blocked request', () => {
    const suspects = new CrashSuspects();
    recordCrash(suspects, 'a', false);
    expect(suspects.recordSuccess('a', 0)?.verdict).to.equal(CrashStatus.CLEAR);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.CLEAR);
    recordCrash(suspects, 'a', true);
    suspects.applyUpdate(
      {
        fingerprint: 'a',
        bodyBytes: 1,
        traits: [],
        verdict: CrashStatus.CLEAR,
        generation: 9,
        crashes: 0,
        blocks: 0,
        blockedMs: 0,
        remainingMs: HOUR_MS,
      },
      0,
    );
    expect(suspects.recordSuccess('a', 0)).to.equal(undefined);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.BLOCKED);
  });

  it('hashes only bodies of a recorded length and lets records expire', () => {
    const suspects = new CrashSuspects();
    recordCrash(suspects, 'a', true);
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

  it('counts attempts that were in flight together as one crash', () => {
    const suspects = new CrashSuspects();
    const stateBefore = suspects.findState(1, () => 'a', 0);
    const report = {...SHARED, stateBefore};
    for (let attempt = 0; attempt < 9; attempt++) {
      suspects.recordCrash({...report, wasIsolated: false}, 0);
    }
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.SUSPECT);
  });

  it('blocks at the third crash in a row a request that never ran alone', () => {
    const suspects = new CrashSuspects();
    recordCrash(suspects, 'a', false);
    recordCrash(suspects, 'a', false);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.SUSPECT);
    recordCrash(suspects, 'a', false);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.BLOCKED);
  });

  it('does not count a crash of an attempt that was sent before the request was cleared', () => {
    const suspects = new CrashSuspects();
    recordCrash(suspects, 'a', false);
    const stateBefore = suspects.findState(1, () => 'a', 0);
    suspects.recordSuccess('a', 0);
    const report = {...SHARED, stateBefore};
    suspects.recordCrash({...report, wasIsolated: true}, 0);
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.SUSPECT);
  });

  it('keeps a blocked request while suspects fill the table', () => {
    const suspects = new CrashSuspects();
    recordCrash(suspects, 'a', true);
    for (let at = 0; at < TABLE_SIZE; at++) {
      recordCrash(suspects, `bystander ${at}`, false);
    }
    expect(findStatus(suspects, 'a')).to.equal(CrashStatus.BLOCKED);
    expect(suspects.size).to.equal(TABLE_SIZE);
  });

  it('converges after lost updates by comparisons', () => {
    const crash = fc.record({
      host: fc.nat({max: 3}),
      request: fc.nat({max: 4}),
      isSuccess: fc.boolean(),
      wasIsolated: fc.boolean(),
      hearers: fc.array(fc.nat({max: 3})),
    });
    fc.assert(
      fc.property(fc.array(crash, {maxLength: 30}), crashes => {
        const hosts = Array.from({length: 4}, () => new CrashSuspects());
        const getHost = (at: number): CrashSuspects => {
          const host = hosts[at];
          if (host === undefined) throw new Error(`no host ${at}`);
          return host;
        };
        for (const {
          host,
          request,
          isSuccess,
          wasIsolated,
          hearers,
        } of crashes) {
          const suspects = getHost(host);
          const fingerprint = `${request}a`;
          const stateBefore = suspects.findState(1, () => fingerprint, 0);
          const report = {
            ...SHARED,
            fingerprint,
            stateBefore,
            wasIsolated,
            hadLease: wasIsolated,
          };
          const update = isSuccess
            ? suspects.recordSuccess(fingerprint, 0)
            : suspects.recordCrash(report, 0);
          if (update === undefined) continue;
          for (const at of hearers) getHost(at).applyUpdate(update, 0);
        }
        for (const one of [1, 2, 3, 0, 1, 2, 3]) {
          compare(getHost(0), getHost(one));
        }
        const all = hosts.map(host => host.listDifferences([], 0).sort(byName));
        expect(all).to.eql(all.map(() => all[0]));
      }),
      {seed: SEED, numRuns: 300},
    );
  });

  it('tells a peer of no record that has expired and is still kept', () => {
    const suspects = new CrashSuspects();
    const update = {
      fingerprint: 'a',
      bodyBytes: 1,
      traits: [],
      verdict: CrashStatus.SUSPECT,
      generation: 1,
      crashes: 1,
      blocks: 0,
      blockedMs: 0,
      remainingMs: 100,
    };
    suspects.summarize(0);
    suspects.applyUpdate(update, 0);
    expect(suspects.listDifferences([], 99)).to.have.length(1);
    expect(suspects.listDifferences([], 138)).to.eql([]);
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
          recordCrash(suspects, 'bad', wasIsolated);
          for (const name of coRunning) {
            const coRunningRequest = `n${name}`;
            if (
              findStatus(suspects, coRunningRequest) === CrashStatus.SUSPECT
            ) {
              suspects.recordSuccess(coRunningRequest, 0);
            } else {
              recordCrash(suspects, coRunningRequest, false);
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

/** Records the crash of an attempt that started with all that is known now. */
function recordCrash(
  suspects: CrashSuspects,
  fingerprint: string,
  wasIsolated: boolean,
): void {
  const stateBefore = suspects.findState(1, () => fingerprint, 0);
  const report = {
    ...SHARED,
    fingerprint,
    stateBefore,
    wasIsolated,
    wasAlone: wasIsolated,
  };
  suspects.recordCrash(report, 0);
}

/** Exchanges the records in which two hosts differ. */
function compare(one: CrashSuspects, other: CrashSuspects): void {
  const [left, right] = [one.summarize(0), other.summarize(0)];
  const [toRight, toLeft] = [
    one.listDifferences(right, 0),
    other.listDifferences(left, 0),
  ];
  for (const update of toRight) other.applyUpdate(update, 0);
  for (const update of toLeft) one.applyUpdate(update, 0);
  expect(one.summarize(0)).to.eql(other.summarize(0));
}

function byName(left: SuspectUpdate, right: SuspectUpdate): number {
  return left.fingerprint < right.fingerprint ? -1 : 1;
}
