import {setTimeout as pause} from 'node:timers/promises';
import type {UpstreamHealth} from '@parsleywood/dispatch';
import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import type {SiteReplica} from '@parsleywood/forwarding';
import {
  PeerStage,
  ReachState,
  ReachTracker,
  type PeerHeartbeat,
} from '@parsleywood/membership';
import type {Clock} from '../../host/clock.js';
import type {EventLog} from '../../host/event_log.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {PathResult} from './path_result.js';
import type {PathSample} from './path_sample.js';
import type {PathTester} from './path_tester.js';
import {reachTiming} from './reach_timing.js';
import type {UpdatePublisher} from '../fleet/update_publisher.js';

/** With fewer upstreams a failed test says nothing about the host's own paths. */
const MIN_UPSTREAMS = 2;
/** Time in which other hosts hear that this one is cut off, test their reach and tell. */
const SETTLE_MS = 1_000;
const POLL_INTERVAL_MS = 50;
/** Retry-After of a host that is cut off; the others are available at once. */
const OTHERS_SERVE_RETRY_MS = 50;
/** Retry-After while no host is known to reach upstreams. */
const NONE_SERVES_RETRY_MS = 500;

/** Tests whether this host reaches upstreams, and tells the other hosts. */
export class ReachMonitor {
  private readonly tracker = new ReachTracker();
  private timer: NodeJS.Timeout | undefined;
  private test: Promise<boolean> | undefined;
  private published = ReachState.UNKNOWN;
  private wasRefusing = false;
  private wasOutOfService = false;

  /**
   * @param listPeers Lists the other live hosts.
   * @param onRefusing Called when requests are refused from now on, and when other
   *     hosts serve them from now on.
   */
  constructor(
    private readonly replica: SiteReplica,
    private readonly health: UpstreamHealth,
    private readonly paths: PathTester,
    private readonly publisher: UpdatePublisher,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly metrics: GatewayMetrics,
    private readonly listPeers: () => readonly PeerHeartbeat[],
    private readonly onRefusing: () => void,
  ) {
    metrics.reachesUpstreams.set(1);
  }

  start(): void {
    this.timer = setInterval(() => {
      this.check();
    }, reachTiming.checkIntervalMs);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  get state(): ReachState {
    return this.tracker.getState(this.clock.nowMs());
  }

  /** Whether this host is cut off from upstreams that other hosts reach. */
  get isOutOfService(): boolean {
    return (
      this.state === ReachState.CUT_OFF &&
      this.listPeers().some(
        ({stage, reach}) =>
          stage === PeerStage.READY && reach === ReachState.REACHED,
      )
    );
  }

  /** Returns the failure for requests that cannot be served, if they cannot. */
  findRefusal(): Failure | undefined {
    if (this.state !== ReachState.CUT_OFF) return undefined;
    const message = 'host reaches no upstream';
    const {NO} = ExecutionStatus;
    if (this.isOutOfService) {
      const kind = ErrorKind.HOST_UNAVAILABLE;
      return new Failure(kind, message, NO, OTHERS_SERVE_RETRY_MS);
    }
    // Upstreams that are only silent may be busy; requests wait for them.
    if (this.tracker.isCutOffBySilence) return undefined;
    if (this.tracker.isAnswered(this.clock.nowMs())) return undefined;
    const kind = ErrorKind.UPSTREAM_UNAVAILABLE;
    return new Failure(kind, message, NO, NONE_SERVES_RETRY_MS);
  }

  /**
   * Records a request that is sent to an upstream.
   *
   * @param expectedMs Time after which its answer is expected to begin.
   */
  recordSend(expectedMs: number): void {
    this.tracker.recordSend(expectedMs, this.clock.nowMs());
  }

  /** Records a response of an upstream. */
  recordAnswer(): void {
    const hasChanged = this.tracker.recordAnswer(this.clock.nowMs());
    if (hasChanged) this.applyTest(true, true);
  }

  /** Tests, after a failure of an upstream, whether this host reaches any other. */
  async testReach(): Promise<boolean> {
    this.test ??= this.runTest().finally(() => {
      this.test = undefined;
    });
    return this.test;
  }

  /**
   * Whether this host alone stays cut off, after a failed test: the others get the
   * time to test their reach, and upstreams that were down the time to come back.
   */
  async staysOutOfService(): Promise<boolean> {
    const untilMs = this.clock.nowMs() + SETTLE_MS;
    while (this.clock.nowMs() < untilMs) {
      if (this.state !== ReachState.CUT_OFF) return false;
      await pause(POLL_INTERVAL_MS);
    }
    return this.isOutOfService;
  }

  private check(): void {
    const nowMs = this.clock.nowMs();
    const isAnyCutOff = this.listPeers().some(
      ({reach}) => reach === ReachState.CUT_OFF,
    );
    this.tracker.recordPeers(isAnyCutOff, nowMs);
    this.publish();
    const isInDoubt = this.tracker.isInDoubt(nowMs) && this.paths.canAsk;
    if (isInDoubt || this.tracker.isTestDue(nowMs)) void this.testReach();
    const isRefusing = this.findRefusal() !== undefined;
    const {isOutOfService} = this;
    const isNew =
      (isRefusing && !this.wasRefusing) ||
      (isOutOfService && !this.wasOutOfService);
    this.wasRefusing = isRefusing;
    this.wasOutOfService = isOutOfService;
    if (isNew) this.onRefusing();
  }

  private async runTest(): Promise<boolean> {
    const {tracker, paths} = this;
    const startedAtMs = this.clock.nowMs();
    const upstreams = this.replica.upstreams.list();
    const isCutOff = this.state === ReachState.CUT_OFF;
    // Upstreams are not asked while answers come anyway.
    const needsAnswer = isCutOff || !tracker.isReturning(startedAtMs);
    if (needsAnswer) tracker.endDoubt();
    const first = await paths.testSome(reachTiming.sampleSize, needsAnswer);
    if (first.working === undefined && upstreams.length < MIN_UPSTREAMS) {
      this.applyTest(tracker.recordInconclusiveTest(), true);
      return true;
    }
    if (isCutOff) return this.confirm(first, startedAtMs);
    if (first.working !== undefined) return this.conclude(true);
    // Waiting for an answer has taken longer than the pause.
    if (first.silent === 0) await pause(reachTiming.confirmationDelayMs);
    const {maxTested, lastAnswerMs} = reachTiming;
    const again = await paths.testSome(maxTested, needsAnswer, lastAnswerMs);
    if (again.working !== undefined) return this.conclude(true);
    return this.concludeFailure(again, startedAtMs);
  }

  /** Whether the upstream that a host that is cut off has reached is reached again. */
  private async confirm(
    first: PathSample,
    startedAtMs: number,
  ): Promise<boolean> {
    if (first.working === undefined) {
      return this.concludeFailure(first, startedAtMs);
    }
    await pause(reachTiming.confirmationDelayMs);
    const result = await this.paths.test(first.working, true);
    if (result === PathResult.SILENT) {
      return this.concludeSilence(startedAtMs, first.tested);
    }
    return this.conclude(result === PathResult.WORKING);
  }

  private concludeFailure(
    {silent, tested}: PathSample,
    startedAtMs: number,
  ): boolean {
    if (silent === 0) return this.conclude(false);
    return this.concludeSilence(startedAtMs, tested);
  }

  /** Concludes a test in which upstreams accepted connections and none answered. */
  private concludeSilence(startedAtMs: number, tested: number): boolean {
    const nowMs = this.clock.nowMs();
    const hasChanged = this.tracker.recordSilence(startedAtMs, nowMs);
    const isCutOff = this.tracker.isCutOffBySilence;
    if (hasChanged && isCutOff) this.log.warn('paths_silent', {tested});
    this.applyTest(hasChanged, !isCutOff);
    return !isCutOff;
  }

  private conclude(hasAccepted: boolean): boolean {
    const hasChanged = this.tracker.recordTest(hasAccepted, this.clock.nowMs());
    this.applyTest(hasChanged, hasAccepted);
    return hasAccepted;
  }

  private applyTest(hasChanged: boolean, mayReach: boolean): void {
    if (hasChanged) {
      this.metrics.reachesUpstreams.set(mayReach ? 1 : 0);
      if (mayReach) {
        // While it was cut off, this host learnt nothing of single upstreams.
        this.health.resetUnreachable();
        this.log.info('upstreams_reached');
      } else this.log.warn('upstreams_cut_off');
    }
    this.check();
  }

  private publish(): void {
    const {state} = this;
    if (state === this.published) return;
    this.published = state;
    this.publisher.publishReach(state);
  }
}
