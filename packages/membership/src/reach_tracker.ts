import {ReachState} from './reach_state.js';

/** Time for which an answer or an accepted connection shows that upstreams are reached. */
const CONTACT_MS = 3_000;
/** Time without contact after which reach is tested while another host is cut off. */
const RETEST_MS = 1_500;
/** Time for which answers on kept connections let a host go on that is cut off. */
const ANSWER_MS = 1_000;
/**
 * Time for which an answer on any connection shows that bytes come back. It is shorter
 * than the time-outs after which a silent upstream causes a test.
 */
const RETURN_MS = 200;
/** Time beyond the expected one after which a request without any answer is a doubt. */
const DOUBT_MS = 700;
/** Time between tests of a host whose paths return nothing: each asks upstreams. */
const SILENT_RETEST_MS = 500;

/**
 * Decides whether this host reaches upstreams, and when to test it. Load pattern: a
 * host or a failure domain loses all paths to upstreams while callers and peers still
 * reach it; some upstreams, or all of them, fail by themselves; paths accept
 * connections and discard all bytes. Only new connections count, as kept ones may live
 * on, and only if bytes come back. Nothing is tested while answers come and no host is
 * cut off.
 */
export class ReachTracker {
  private isCutOff = false;
  /** Whether it is cut off as nothing came back over connections that opened. */
  private isSilent = false;
  private silenceMs = -Infinity;
  /** Time from which on a request without any answer since is a doubt. */
  private doubtMs = Infinity;
  private contactMs = -Infinity;
  private answeredMs = -Infinity;
  private acceptedMs = -Infinity;
  private peerCutOffMs: number | undefined;

  /**
   * Records a request that is sent to an upstream.
   *
   * @param expectedMs Time after which its answer is expected to begin.
   */
  recordSend(expectedMs: number, nowMs: number): void {
    const doubtMs = nowMs + expectedMs + DOUBT_MS;
    this.doubtMs = Math.min(this.doubtMs, doubtMs);
  }

  /**
   * Records a response of an upstream, on any connection.
   *
   * @return Whether it ends that this host is cut off. It does where nothing had come
   *     back; where connections are refused, kept ones prove nothing.
   */
  recordAnswer(nowMs: number): boolean {
    this.contactMs = nowMs;
    this.answeredMs = nowMs;
    this.doubtMs = Infinity;
    const hasChanged = this.isCutOff && this.isSilent;
    if (hasChanged) this.isCutOff = false;
    return hasChanged;
  }

  /**
   * Records a test of upstreams.
   *
   * @param hasAccepted Whether any upstream accepted a new connection, and answered on
   *     it if it was asked.
   * @return Whether this host is now cut off and was not before, or the reverse.
   */
  recordTest(hasAccepted: boolean, nowMs: number): boolean {
    if (hasAccepted) {
      this.contactMs = nowMs;
      this.acceptedMs = nowMs;
    }
    const hasChanged = this.isCutOff === hasAccepted;
    this.isCutOff = !hasAccepted;
    this.isSilent = false;
    return hasChanged;
  }

  /**
   * Records a test in which upstreams accepted connections and none of several
   * answered. Answers on other connections during the test show that the upstreams
   * asked are busy.
   *
   * @return Whether this host is now cut off and was not before, or the reverse.
   */
  recordSilence(startedAtMs: number, nowMs: number): boolean {
    const isBusy = this.answeredMs >= startedAtMs;
    const hasChanged = this.isCutOff === isBusy;
    this.isCutOff = !isBusy;
    this.isSilent = true;
    this.silenceMs = nowMs;
    this.endDoubt();
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
    this.endDoubt();
    return hasChanged;
  }

  /** Records that a test asks upstreams for an answer. */
  endDoubt(): void {
    this.doubtMs = Infinity;
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

  /** Whether it is cut off only as upstreams that accept connections do not answer. */
  get isCutOffBySilence(): boolean {
    return this.isCutOff && this.isSilent;
  }

  /** Whether a request had no answer in time, and no upstream answered since it. */
  isInDoubt(nowMs: number): boolean {
    return nowMs >= this.doubtMs;
  }

  /** Whether answers have come just now, so that tests need not ask for any. */
  isReturning(nowMs: number): boolean {
    return nowMs - this.answeredMs < RETURN_MS;
  }

  /** Whether a test is due without a failure that asks for one. */
  isTestDue(nowMs: number): boolean {
    if (this.isCutOffBySilence) {
      return nowMs - this.silenceMs >= SILENT_RETEST_MS;
    }
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
