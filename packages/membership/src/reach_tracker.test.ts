import {expect} from 'chai';
import fc from 'fast-check';
import {ReachState} from './reach_state.js';
import {ReachTracker} from './reach_tracker.js';
import {selectReachingPeers} from './select_reaching_peers.js';
import {createHeartbeat} from './testing/create_heartbeat.js';

const CONTACT_MS = 3_000;
const MAX_STEP_MS = 2_000;

enum Step {
  ANSWER,
  ACCEPTED,
  FAILED,
  PEER_CUT_OFF,
  PEERS_FINE,
}

const steps = fc.array(
  fc.record({
    kind: fc.constantFrom(
      Step.ANSWER,
      Step.ACCEPTED,
      Step.FAILED,
      Step.PEER_CUT_OFF,
      Step.PEERS_FINE,
    ),
    afterMs: fc.nat(MAX_STEP_MS),
  }),
);

describe('ReachTracker', () => {
  it('is cut off exactly after a failed test, and reaches only by fresh evidence', () => {
    const property = fc.property(steps, all => {
      const tracker = new ReachTracker();
      let nowMs = 0;
      let lastTest = true;
      let acceptedMs = -Infinity;
      let contactMs = -Infinity;
      let peerCutOffMs = Infinity;
      for (const {kind, afterMs} of all) {
        nowMs += afterMs;
        if (kind === Step.ANSWER) tracker.recordAnswer(nowMs);
        if (kind === Step.ACCEPTED || kind === Step.FAILED) {
          const hasAccepted = kind === Step.ACCEPTED;
          expect(tracker.recordTest(hasAccepted, nowMs)).to.equal(
            hasAccepted !== lastTest,
          );
          lastTest = hasAccepted;
          if (hasAccepted) acceptedMs = nowMs;
        }
        if (kind === Step.ANSWER || kind === Step.ACCEPTED) contactMs = nowMs;
        if (kind === Step.PEER_CUT_OFF) {
          tracker.recordPeers(true, nowMs);
          peerCutOffMs = Math.min(peerCutOffMs, nowMs);
        }
        if (kind === Step.PEERS_FINE) {
          tracker.recordPeers(false, nowMs);
          peerCutOffMs = Infinity;
        }
        const isFresh =
          acceptedMs >= peerCutOffMs && nowMs - contactMs < CONTACT_MS;
        const reached = isFresh ? ReachState.REACHED : ReachState.UNKNOWN;
        const expected = lastTest ? reached : ReachState.CUT_OFF;
        expect(tracker.getState(nowMs)).to.equal(expected);
        const isCalm = lastTest && peerCutOffMs === Infinity;
        if (isCalm) expect(tracker.isTestDue(nowMs)).to.equal(false);
        if (expected === ReachState.CUT_OFF) {
          expect(tracker.isTestDue(nowMs)).to.equal(true);
        }
      }
    });
    fc.assert(property, {seed: 1, numRuns: 200});
  });
});

describe('ReachTracker whose upstreams accept connections and do not answer', () => {
  it('is cut off unless an upstream answers on another connection meanwhile', () => {
    const property = fc.property(fc.nat(1_000), fc.nat(1_000), (a, b) => {
      const tracker = new ReachTracker();
      tracker.recordAnswer(a);
      const hasChanged = tracker.recordSilence(b, 1_000);
      expect(hasChanged).to.equal(a < b);
      expect(tracker.isCutOffBySilence).to.equal(a < b);
      expect(tracker.recordAnswer(1_000)).to.equal(a < b);
      expect(tracker.getState(1_000)).to.equal(ReachState.UNKNOWN);
    });
    fc.assert(property, {seed: 1, numRuns: 200});
  });

  it('is in doubt only as a request has no answer in time and none came since', () => {
    const tracker = new ReachTracker();
    tracker.recordSend(300, 0);
    expect(tracker.isInDoubt(999)).to.equal(false);
    expect(tracker.isInDoubt(1_000)).to.equal(true);
    tracker.recordAnswer(1_000);
    expect(tracker.isInDoubt(5_000)).to.equal(false);
    tracker.recordSend(0, 5_000);
    tracker.recordTest(true, 5_800);
    expect(tracker.isInDoubt(9_000)).to.equal(true);
    tracker.endDoubt();
    expect(tracker.isInDoubt(9_000)).to.equal(false);
  });

  it('keeps answers on kept connections from ending a cut that refuses new ones', () => {
    const tracker = new ReachTracker();
    tracker.recordTest(false, 0);
    expect(tracker.recordAnswer(1)).to.equal(false);
    expect(tracker.getState(1)).to.equal(ReachState.CUT_OFF);
  });
});

describe('selectReachingPeers', () => {
  const cut = createHeartbeat('a', {reach: ReachState.CUT_OFF});
  const unknown = createHeartbeat('b');
  const reaching = createHeartbeat('c', {reach: ReachState.REACHED});

  it('leaves out hosts that are cut off while another one reaches upstreams', () => {
    const all = [cut, unknown, reaching];
    expect(selectReachingPeers(all, ReachState.UNKNOWN)).to.deep.equal([
      unknown,
      reaching,
    ]);
    expect(selectReachingPeers([cut], ReachState.REACHED)).to.deep.equal([]);
  });

  it('keeps all hosts while none is known to reach upstreams', () => {
    const both = [cut, unknown];
    expect(selectReachingPeers(both, ReachState.CUT_OFF)).to.deep.equal(both);
  });
});
