import {ReachState} from './reach_state.js';

/** Time for which an answer or an accepted connection shows that upstreams are reached. */
const CONTACT_MS = 3_000;
/** Time without contact after which reach is tested while another host is cut off. */
const RETEST_MS = 1_500;
/** Time for which answers on kept connections let a host go on that is cut off. */
const ANSWER_MS = 1_000;

/**
 * Decides whether this host reaches upstreams, and when to test it. Load pattern: a
 * host or a failure domain loses all paths to upstreams while callers and peers still
 * reach it; some upstreams, or all of them, fail by themselves. Only new connections
 * count, as kept ones may live on. Nothing is tested while no host is cut off.
 */
export class ReachTracker {
  private isCutOff = false;
  private contactMs = -Infinity;
  private answeredMs = -Infinity;
  private acceptedMs = -Infinity;
  private peerCutOffMs: number | undefined;

  /** Records a response of an upstream, on any connection. */
  recordAnswer(nowMs: number): void {
    this.contactMs = nowMs;
    this.answeredMs = nowMs;
  }

  /**
   * Records a test of upstreams.
   *
   * @param hasAccepted Whether any upstream accepted a new connection.
   * @return Whether this host is now cut off and was not before, or the reverse.
   */
  recordTest(hasAccepted: boolean, nowMs: number): boolean {
    if (hasAccepted) {
      this.contactMs = nowMs;
      this.acceptedMs = nowMs;
    }
    const hasChanged = this.isCutOff === hasAccepted;
    this.isCutOff = !hasAccepted;
    return hasChanged;
  }

  /**
   * Records a failed test of too few upstreams to tell whose fault it is.
   *
   * @return Whether this host was cut off before.
   */
  recordInconclusiveTest(): boolean {
    const hasChanged = this.isCutOff;
    this.isCutOff = false;
    return hasChanged;
  }

  /** Records whether any other host is cut off. */
  recordPeers(isAnyCutOff: boolean, nowMs: number): void {
    this.peerCutOffMs = isAnyCutOff ? (this.peerCutOffMs ?? nowMs) : undefined;
  }

  /** What this host tells the others. */
  getState(nowMs: number): ReachState {
    if (this.isCutOff) return ReachState.CUT_OFF;
    const isCurrent =
      this.acceptedMs >= (this.peerCutOffMs ?? Infinity) &&
      nowMs - this.contactMs < CONTACT_MS;
    return isCurrent ? ReachState.REACHED : ReachState.UNKNOWN;
  }

  /** Whether a test is due without a failure that asks for one. */
  isTestDue(nowMs: number): boolean {
    if (this.isCutOff) return true;
    if (this.peerCutOffMs === undefined) return false;
    const isKnown = this.getState(nowMs) === ReachState.REACHED;
    return !isKnown || nowMs - this.contactMs >= RETEST_MS;
  }

  /** Whether upstreams answer on kept connections. */
  isAnswered(nowMs: number): boolean {
    return nowMs - this.answeredMs < ANSWER_MS;
  }
}
