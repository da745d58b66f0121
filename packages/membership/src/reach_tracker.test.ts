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
