import {expect} from 'chai';
import {CrashStatus, describeScopes} from '@parsleywood/requests';
import type {SuspectMessage} from '@parsleywood/schema/suspects';
import type {SuspectLog} from './suspect_log.js';
import type {SuspectSubject} from './suspect_subject.js';
import {SuspectTracker} from './suspect_tracker.js';

const OK = 200;
const HOUR_MS = 3_600_000;
const FIRST_BLOCK_MS = 5_000;
const SECOND_BLOCK_MS = 120_000;
const LATE_MS = 2_000;

describe('SuspectTracker', () => {
  let nowMs: number;
  let published: SuspectMessage[];
  let tracker: SuspectTracker;

  beforeEach(() => {
    nowMs = 1_000;
    published = [];
    tracker = new SuspectTracker(
      {nowMs: () => nowMs, wallMs: () => nowMs},
      {
        publishSuspect: it => published.push(it),
        publishTraitCrash: () => undefined,
        publishTraitAnswer: () => undefined,
      },
      {record: () => undefined} as unknown as SuspectLog,
      () => 1,
      0,
    );
  });

  /** Runs a prompt until its upstream crashes, alone or beside others. */
  function crash(subject: SuspectSubject, wasAlone: boolean): void {
    const stateBefore = tracker.findState(subject);
    const startedAtMs = nowMs++;
    const wasIsolated = stateBefore.status === CrashStatus.SUSPECT;
    tracker.recordCrash(subject, {
      upstreams: [`u${nowMs}`],
      ...{stateBefore, wasIsolated, wasAlone, startedAtMs},
      hadLease: false,
    });
  }

  // Requests that ran as their upstreams crashed were refused for an hour.
  it('tries a request again that ran beside others, and refuses it for longer each time', () => {
    const subject = describePrompt('own', 'part');
    crash(subject, false);
    expect(tracker.findBlock(subject)).to.equal(undefined);
    for (const blockMs of [FIRST_BLOCK_MS, SECOND_BLOCK_MS]) {
      crash(subject, false);
      const block = tracker.findBlock(subject);
      expect(block).to.include({remainingMs: blockMs, isFinal: false});
      nowMs += blockMs;
      expect(tracker.findStatus(subject)).to.equal(CrashStatus.SUSPECT);
    }
    tracker.recordAnswer(subject, OK, nowMs);
    expect(tracker.findStatus(subject)).to.equal(CrashStatus.CLEAR);
  });

  it('refuses for good what crashed upstreams alone, once others would have told', () => {
    const subject = describePrompt('own', 'part');
    for (let at = 0; at < 2; at++) crash(subject, true);
    expect(tracker.findBlock(subject)?.isFinal).to.equal(false);
    nowMs += LATE_MS;
    tracker.findBlock(subject);
    expect(tracker.findBlock(subject)).to.include({isFinal: true, crashes: 2});
  });

  it('refuses for a while only what another host reports to have crashed beside another request', () => {
    const subject = describePrompt('own', 'part');
    for (let at = 0; at < 2; at++) {
      crash(subject, true);
      const report = {...describePrompt('other', 'bad'), upstream: `u${nowMs}`};
      const {scopes, parts, upstream} = report;
      tracker.applyTraitCrash({
        ...{scopes: [...scopes], parts: [...parts], upstream},
        ...{request: 'other', startedAgoMs: 90, crashedAgoMs: 0},
        wasAlone: true,
      });
    }
    nowMs += LATE_MS;
    tracker.findBlock(subject);
    expect(tracker.findBlock(subject)?.isFinal).to.equal(false);
  });

  // A part that had been sound was refused for ten seconds, again and again.
  it('tries a part that was sound before once after each block', () => {
    tracker.recordAnswer(describePrompt('calm', 'part'), OK, nowMs);
    nowMs += 1_000;
    let [own, crashes] = [0, 0];
    const sendNext = (): boolean => {
      const prompt = describePrompt(`own ${own++}`, 'part');
      nowMs += 200;
      if (tracker.findBlock(prompt) !== undefined) return false;
      crash(prompt, false);
      crashes++;
      return true;
    };
    while (sendNext());
    const before = crashes;
    nowMs += FIRST_BLOCK_MS;
    expect(tracker.findQuarantine(describePrompt('x', 'part'))).not.to.equal(
      '',
    );
    while (sendNext());
    expect(crashes).to.equal(before + 1);
    const [block] = published.slice(-2).filter(it => it.traits.length > 0);
    expect(block).to.include({blocks: 2, remainingMs: SECOND_BLOCK_MS});
  });

  it('clears a part by the answer to a trial, also at a host that saw no crash', () => {
    tracker.applyUpdate(describeBlock({blocks: 2, keptMs: HOUR_MS}));
    nowMs += 10_000;
    const prompt = describePrompt('own', 'part');
    expect(tracker.findQuarantine(prompt)).not.to.equal('');
    tracker.recordAnswer(prompt, OK, nowMs);
    expect(tracker.findQuarantine(prompt)).to.equal('');
    expect(published.at(-1)).to.include({verdict: 'clear', blocks: 0});
  });

  it('does not take over a block of a peer that sound requests contradict', () => {
    crash(describePrompt('one', 'part'), false);
    const block = describeBlock({blocks: 1, keptMs: HOUR_MS});
    tracker.applyUpdate(block);
    const sound = describePrompt('two', 'part');
    expect(tracker.findBlock(sound)).not.to.equal(undefined);
    // The attempt had started before the news came.
    tracker.recordAnswer(sound, OK, nowMs);
    expect(tracker.findBlock(sound)).to.equal(undefined);
    expect(published.at(-1)).to.include({verdict: 'clear', generation: 1});
    tracker.applyUpdate({...block, crashes: 4, generation: 1});
    expect(tracker.findBlock(sound)).to.equal(undefined);
  });

  it('reads blocks of hosts of earlier versions, and tells them the time of its own', () => {
    tracker.applyUpdate(describeBlock({blocks: 0, keptMs: 0}));
    const prompt = describePrompt('own', 'part');
    const remainingMs = 10_000;
    expect(tracker.findBlock(prompt)).to.include({remainingMs, isFinal: false});
    const [told] = tracker.listDifferences({
      hashes: [],
      isReply: false,
    }).suspects;
    expect(told).to.include({verdict: 'condemned', remainingMs});
    nowMs += remainingMs;
    expect(tracker.findBlock(prompt)).to.equal(undefined);
    expect(tracker.findQuarantine(prompt)).to.equal('');
  });
});

function describeBlock(
  times: Pick<SuspectMessage, 'blocks' | 'keptMs'>,
): SuspectMessage {
  return {
    fingerprint: 'ab',
    bodyBytes: 0,
    verdict: CrashStatus.BLOCKED,
    generation: 0,
    crashes: 3,
    remainingMs: 10_000,
    traits: ['part'],
    ...times,
  };
}

function describePrompt(own: string, part: string): SuspectSubject {
  const call = {method: 'POST', target: '/ask', account: 'mill', body: ''};
  const prompt = `${part},${own}`;
  return {
    name: prompt,
    body: Buffer.alloc(0),
    scopes: describeScopes({...call, headers: [], prompt}),
    parts: [part],
  };
}
