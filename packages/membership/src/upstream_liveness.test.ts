import {expect} from 'chai';
import fc from 'fast-check';
import type {UpstreamList} from '@parsleywood/schema/upstream_list';
import {UpstreamLiveness, UpstreamNews, UpstreamState} from './index.js';

const {USABLE, PROBING, AVOIDED, LEAVING} = UpstreamState;
const NAME = 'engine-1';
const LONG_MS = 10_000;
const PROBE_TIMEOUT_MS = 2_000;

describe('upstream liveness', () => {
  it('sends no work to an unknown upstream before one probe succeeds', () => {
    const liveness = new UpstreamLiveness(1);
    liveness.takeList(listOf('live'), 1, 0);
    expect(liveness.stateOf(NAME)).to.equal(PROBING);
    const dueMs = liveness.wakeAtMs();
    expect(liveness.takeDueProbes(dueMs)).to.eql([NAME]);
    expect(liveness.takeDueProbes(dueMs)).to.eql([]);
    liveness.takeProbeOutcome(NAME, true, dueMs + 1);
    expect(liveness.stateOf(NAME)).to.equal(USABLE);
    expect(liveness.takeChanges()).to.eql([{upstream: NAME, state: USABLE}]);
  });

  it('leaves at once whichever source says so, and stays with a late list', () => {
    const sources: ((liveness: UpstreamLiveness) => void)[] = [
      l => l.takeList(listOf('leaving'), 2, LONG_MS),
      l => l.takeRefusal(NAME, LONG_MS),
      l => l.takeWord(NAME, UpstreamNews.LEAVING, LONG_MS),
      l => l.takeList({upstreams: []}, 2, LONG_MS),
    ];
    for (const leave of sources) {
      const liveness = buildUsable();
      leave(liveness);
      expect(liveness.stateOf(NAME)).to.equal(LEAVING);
      liveness.takeList(listOf('live'), 1, LONG_MS);
      liveness.takeSuccess(NAME, LONG_MS + 1);
      liveness.takeFailure(NAME, LONG_MS + 2);
      expect(liveness.stateOf(NAME)).to.equal(LEAVING);
      expect(liveness.takeDueProbes(LONG_MS + 5000)).to.eql([]);
    }
  });

  it('probes again one that came back without the list showing it', () => {
    const liveness = buildUsable();
    liveness.takeRefusal(NAME, LONG_MS);
    const dueMs = liveness.wakeAtMs();
    expect(dueMs).to.be.lessThan(LONG_MS + 60_000);
    expect(liveness.takeDueProbes(dueMs)).to.eql([NAME]);
    liveness.takeProbeOutcome(NAME, true, dueMs);
    expect(liveness.stateOf(NAME)).to.equal(USABLE);
  });

  it('avoids a failing one and backs off with jitter', () => {
    const liveness = buildUsable();
    liveness.takeFailure(NAME, LONG_MS);
    expect(liveness.stateOf(NAME)).to.equal(USABLE);
    liveness.takeFailure(NAME, LONG_MS);
    expect(liveness.stateOf(NAME)).to.equal(AVOIDED);
    const waits: number[] = [];
    let nowMs = LONG_MS;
    for (let i = 0; i < 8; i++) {
      const dueMs = liveness.wakeAtMs();
      waits.push(dueMs - nowMs);
      nowMs = dueMs;
      expect(liveness.takeDueProbes(nowMs)).to.eql([NAME]);
      liveness.takeProbeOutcome(NAME, false, nowMs);
    }
    const bounds = [500, 1000, 2000, 4000, 8000, 15_000, 15_000, 15_000];
    bounds.forEach((bound, i) => {
      expect(waits[i]).to.be.within(bound / 2, bound * 1.5);
    });
  });

  it('lets a peer call for a probe but not for avoidance', () => {
    const liveness = buildUsable();
    liveness.takeSuccess(NAME, LONG_MS);
    liveness.takeWord(NAME, UpstreamNews.FAILED, LONG_MS + 1);
    expect(liveness.stateOf(NAME)).to.equal(USABLE);
    liveness.takeWord(NAME, UpstreamNews.FAILED, LONG_MS + 5000);
    expect(liveness.stateOf(NAME)).to.equal(PROBING);
  });

  it('has at most one probe in flight and none while leaving', () => {
    const step = fc.record({
      what: fc.nat({max: 7}),
      elapsedMs: fc.nat({max: 3000}),
    });
    const property = fc.property(fc.array(step), fc.nat(), (steps, seed) => {
      const liveness = new UpstreamLiveness(seed);
      let nowMs = 0;
      let sentMs = -Infinity;
      let revision = 0;
      for (const {what, elapsedMs} of steps) {
        nowMs += elapsedMs;
        const state = what % 2 === 0 ? 'live' : 'leaving';
        if (what < 2) liveness.takeList(listOf(state), ++revision, nowMs);
        else if (what === 2) liveness.takeFailure(NAME, nowMs);
        else if (what === 3) {
          liveness.takeSuccess(NAME, nowMs);
          if (liveness.stateOf(NAME) === USABLE) sentMs = -Infinity;
        } else if (what === 4) {
          liveness.takeWord(NAME, UpstreamNews.FAILED, nowMs);
        } else if (what === 5) {
          liveness.takeRefusal(NAME, nowMs);
          sentMs = -Infinity;
        } else if (what === 6) {
          liveness.takeProbeOutcome(NAME, elapsedMs % 2 === 0, nowMs);
          sentMs = -Infinity;
        } else if (liveness.takeDueProbes(nowMs).length > 0) {
          expect(liveness.stateOf(NAME)).to.equal(PROBING);
          expect(nowMs - sentMs).to.be.at.least(PROBE_TIMEOUT_MS);
          sentMs = nowMs;
        }
        expect(liveness.takeDueProbes(-1)).to.eql([]);
      }
    });
    fc.assert(property, {seed: 1, numRuns: 300});
  });
});

function listOf(state: 'live' | 'leaving'): UpstreamList {
  const address = '10.0.0.1:9000';
  const kind = 'engine' as const;
  const rest = {address, kind, serves: 'demo-llm', failureDomain: 'a', state};
  return {upstreams: [{name: NAME, ...rest}]};
}

function buildUsable(): UpstreamLiveness {
  const liveness = new UpstreamLiveness(1);
  liveness.takeList(listOf('live'), 1, 0);
  liveness.takeDueProbes(liveness.wakeAtMs());
  liveness.takeProbeOutcome(NAME, true, liveness.wakeAtMs());
  return liveness;
}
