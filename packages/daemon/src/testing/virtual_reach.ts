import {
  PeerStage,
  ReachState,
  ReachTracker,
  type PeerHeartbeat,
} from '@parsleywood/membership';
import {reachTiming} from '../gateway/upstreams/reach_timing.js';

/** Time of a test that finds an upstream; without an answer it takes much longer. */
const ACCEPTED_MS = 50;
const CONNECT_TIMEOUT_MS = 300;
const ANSWER_INTERVAL_MS = 200;
/** Time without answers after which a host with traffic tests its reach. */
const NOTICE_MS = 850;

/** Reach of one host on virtual time, with the timing of a `ReachMonitor`. */
export class VirtualReach {
  /** Whether connections to upstreams hang. */
  isCut = false;
  hasTraffic = false;
  /** Connections that tests have opened. */
  connections = 0;
  private readonly tracker = new ReachTracker();
  private published = ReachState.UNKNOWN;
  private nextCheckMs = 0;
  private nextAnswerMs = 0;
  private answeredMs = 0;
  private test: {readonly endMs: number; readonly accepts: boolean} | undefined;

  constructor(
    private readonly listPeers: () => readonly PeerHeartbeat[],
    private readonly publish: (state: ReachState) => void,
  ) {}

  getState(nowMs: number): ReachState {
    return this.tracker.getState(nowMs);
  }

  isOutOfService(nowMs: number): boolean {
    return (
      this.getState(nowMs) === ReachState.CUT_OFF &&
      this.listPeers().some(
        ({stage, reach}) =>
          stage === PeerStage.READY && reach === ReachState.REACHED,
      )
    );
  }

  /** @param phaseMs Offset of this host's checks. */
  step(nowMs: number, phaseMs: number): void {
    if (this.hasTraffic) this.serve(nowMs);
    if (this.test !== undefined && nowMs >= this.test.endMs) {
      this.tracker.recordTest(this.test.accepts, nowMs);
      this.test = undefined;
      this.check(nowMs);
    }
    if (nowMs < this.nextCheckMs + phaseMs) return;
    this.nextCheckMs += reachTiming.checkIntervalMs;
    this.check(nowMs);
  }

  private serve(nowMs: number): void {
    if (this.isCut) {
      const isUnnoticed = this.getState(nowMs) !== ReachState.CUT_OFF;
      const isSilent = nowMs - this.answeredMs >= NOTICE_MS;
      if (isUnnoticed && isSilent) this.startTest(nowMs);
    } else if (nowMs >= this.nextAnswerMs) {
      this.nextAnswerMs = nowMs + ANSWER_INTERVAL_MS;
      this.answeredMs = nowMs;
      this.tracker.recordAnswer(nowMs);
    }
  }

  private check(nowMs: number): void {
    const isAnyCutOff = this.listPeers().some(
      ({reach}) => reach === ReachState.CUT_OFF,
    );
    this.tracker.recordPeers(isAnyCutOff, nowMs);
    const state = this.getState(nowMs);
    if (state !== this.published) {
      this.published = state;
      this.publish(state);
    }
    if (this.tracker.isTestDue(nowMs)) this.startTest(nowMs);
  }

  private startTest(nowMs: number): void {
    if (this.test !== undefined) return;
    const isKnown = this.getState(nowMs) === ReachState.CUT_OFF;
    const accepts = !this.isCut;
    this.connections += reachTiming.sampleSize;
    let durationMs = accepts ? ACCEPTED_MS : CONNECT_TIMEOUT_MS;
    if (isKnown && accepts) {
      this.connections++;
      durationMs += reachTiming.confirmationDelayMs + ACCEPTED_MS;
    } else if (!isKnown && !accepts) {
      this.connections += reachTiming.maxTested;
      durationMs += reachTiming.confirmationDelayMs + CONNECT_TIMEOUT_MS;
    }
    this.test = {endMs: nowMs + durationMs, accepts};
  }
}
