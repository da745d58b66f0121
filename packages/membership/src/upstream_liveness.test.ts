import {expect} from 'chai';
import fc from 'fast-check';
import type {UpstreamList} from '@parsleywood/schema/upstream_list';
import {UpstreamLiveness, UpstreamNews, UpstreamState} from './index.js';

const {USABLE, PROBING, AVOIDED, LEAVING} = UpstreamState;
const UPSTREAM = 'engine-1';
const LONG_MS = 10_000;
const PROBE_TIMEOUT_MS = 2_000;

describe('upstream liveness', () => {
  it('keeps a new upstream unusable until one probe succeeds', () => {
    const liveness = new UpstreamLiveness(1);
    liveness.applyList(buildList('live'), 1, 0);
    expect(liveness.stateOf(UPSTREAM)).to.equal(PROBING);
    const dueMs = liveness.wakeAtMs();
    expect(liveness.takeDueProbes(dueMs)).to.eql([UPSTREAM]);
    expect(liveness.takeDueProbes(dueMs)).to.eql([]);
    liveness.recordProbeOutcome(UPSTREAM, true, dueMs + 1);
    expect(liveness.stateOf(UPSTREAM)).to.equal(USABLE);
    expect(liveness.takeChanges()).to.eql([
      {upstream: UPSTREAM, state: USABLE},
    ]);
  });

  it('marks an upstream leaving on any report, despite an outdated list', () => {
    const sources: ((liveness: UpstreamLiveness) => void)[] = [
      liveness => liveness.applyList(buildList('leaving'), 2, LONG_MS),
      liveness => liveness.recordRefusal(UPSTREAM, LONG_MS),
      liveness =>
        liveness.recordPeerReport(UPSTREAM, UpstreamNews.LEAVING, LONG_MS),
      liveness => liveness.applyList({upstreams: []}, 2, LONG_MS),
    ];
    for (const reportLeaving of sources) {
      const liveness = buildUsable();
      reportLeaving(liveness);
      expect(liveness.stateOf(UPSTREAM)).to.equal(LEAVING);
      liveness.applyList(buildList('live'), 1, LONG_MS);
      liveness.recordSuccess(UPSTREAM, LONG_MS + 1);
      liveness.recordFailure(UPSTREAM, LONG_MS + 2);
      expect(liveness.stateOf(UPSTREAM)).to.equal(LEAVING);
      expect(liveness.takeDueProbes(LONG_MS + 5000)).to.eql([]);
    }
  });

  it('probes a leaving upstream again although the list did not change', () => {
    const liveness = buildUsable();
    liveness.recordRefusal(UPSTREAM, LONG_MS);
    const dueMs = liveness.wakeAtMs();
    expect(dueMs).to.be.lessThan(LONG_MS + 60_000);
    expect(liveness.takeDueProbes(dueMs)).to.eql([UPSTREAM]);
    liveness.recordProbeOutcome(UPSTREAM, true, dueMs);
    expect(liveness.stateOf(UPSTREAM)).to.equal(USABLE);
  });

  it('avoids a failing upstream and backs off with jitter', () => {
    const liveness = buildUsable();
    liveness.recordFailure(UPSTREAM, LONG_MS);
    expect(liveness.stateOf(UPSTREAM)).to.equal(USABLE);
    liveness.recordFailure(UPSTREAM, LONG_MS);
    expect(liveness.stateOf(UPSTREAM)).to.equal(AVOIDED);
    const delaysMs: number[] = [];
    let nowMs = LONG_MS;
    for (let i = 0; i < 8; i++) {
      const dueMs = liveness.wakeAtMs();
      delaysMs.push(dueMs - nowMs);
      nowMs = dueMs;
      expect(liveness.takeDueProbes(nowMs)).to.eql([UPSTREAM]);
      liveness.recordProbeOutcome(UPSTREAM, false, nowMs);
    }
    const bounds = [500, 1000, 2000, 4000, 8000, 15_000, 15_000, 15_000];
    bounds.forEach((bound, i) => {
      expect(delaysMs[i]).to.be.within(bound / 2, bound * 1.5);
    });
  });

  it('probes an upstream that a peer reports failing, but does not avoid it', () => {
    const liveness = buildUsable();
    liveness.recordSuccess(UPSTREAM, LONG_MS);
    liveness.recordPeerReport(UPSTREAM, UpstreamNews.FAILED, LONG_MS + 1);
    expect(liveness.stateOf(UPSTREAM)).to.equal(USABLE);
    liveness.recordPeerReport(UPSTREAM, UpstreamNews.FAILED, LONG_MS + 5000);
    expect(liveness.stateOf(UPSTREAM)).to.equal(PROBING);
  });

  it('has at most one probe in flight and none while leaving', () => {
    const step = fc.record({
      action: fc.nat({max: 7}),
      elapsedMs: fc.nat({max: 3000}),
    });
    const property = fc.property(fc.array(step), fc.nat(), (steps, seed) => {
      const liveness = new UpstreamLiveness(seed);
      let nowMs = 0;
      let sentMs = -Infinity;
      let revision = 0;
      for (const {action, elapsedMs} of steps) {
        nowMs += elapsedMs;
        const state = action % 2 === 0 ? 'live' : 'leaving';
        if (action < 2) liveness.applyList(buildList(state), ++revision, nowMs);
        else if (action === 2) liveness.recordFailure(UPSTREAM, nowMs);
        else if (action === 3) {
          liveness.recordSuccess(UPSTREAM, nowMs);
          if (liveness.stateOf(UPSTREAM) === USABLE) sentMs = -Infinity;
        } else if (action === 4) {
          liveness.recordPeerReport(UPSTREAM, UpstreamNews.FAILED, nowMs);
        } else if (action === 5) {
          liveness.recordRefusal(UPSTREAM, nowMs);
          sentMs = -Infinity;
        } else if (action === 6) {
          liveness.recordProbeOutcome(UPSTREAM, elapsedMs % 2 === 0, nowMs);
          sentMs = -Infinity;
        } else if (liveness.takeDueProbes(nowMs).length > 0) {
          expect(liveness.stateOf(UPSTREAM)).to.equal(PROBING);
          expect(nowMs - sentMs).to.be.at.least(PROBE_TIMEOUT_MS);
          sentMs = nowMs;
        }
        expect(liveness.takeDueProbes(-1)).to.eql([]);
      }
    });
    fc.assert(property, {seed: 1, numRuns: 300});
  });
});

function buildList(state: 'live' | 'leaving'): UpstreamList {
  const address = '10.0.0.1:9000';
  const kind = 'engine' as const;
  const fields = {address, kind, serves: 'demo-llm', failureDomain: 'a', state};
  return {upstreams: [{name: UPSTREAM, ...fields}]};
}

function buildUsable(): UpstreamLiveness {
  const liveness = new UpstreamLiveness(1);
  liveness.applyList(buildList('live'), 1, 0);
  liveness.takeDueProbes(liveness.wakeAtMs());
  liveness.recordProbeOutcome(UPSTREAM, true, liveness.wakeAtMs());
  return liveness;
}
