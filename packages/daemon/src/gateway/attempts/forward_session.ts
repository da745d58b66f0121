import type {CapacityShortage} from '@parsleywood/dispatch';
import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {
  AttemptOutcome,
  NextStep,
  RetryController,
  type RouteMatch,
} from '@parsleywood/forwarding';
import type {ResponseHead} from '../upstreams/response_head.js';
import type {ResponseListener} from './response_listener.js';
import type {ResponseWriter} from '../callers/response_writer.js';
import {CrashDetector} from './crash_detector.js';
import {drawService} from './draw_service.js';
import {endResponse} from '../callers/end_response.js';
import {computeTimeLimit} from '../callers/compute_time_limit.js';
import type {GatewayContext} from '../gateway_context.js';
import type {PlacedAttempt} from './placed_attempt.js';
import {ReceivedResponse} from './received_response.js';
import type {ReceivedRequest} from '../callers/received_request.js';
import {SessionFailures} from './session_failures.js';
import {SessionLog} from './session_log.js';
import {SessionRetries} from './session_retries.js';
import {SuspectTrial} from './suspect_trial.js';
import {StreamFlow} from './stream_flow.js';
import {SessionOutcome} from './session_outcome.js';
import {InactivityTimer} from './inactivity_timer.js';
import {AttemptHolder} from './attempt_holder.js';
import {AttemptPlacer} from './attempt_placer.js';
import {AttemptSender} from './attempt_sender.js';

const SERVER_ERROR_STATUS = 500;
const MISDIRECTED_STATUS = 421;

/**
 * Forwards one request: sends attempts, relays the response, enforces the
 * deadline.
 */
export class ForwardSession implements ResponseListener {
  private readonly retryController: RetryController;
  private readonly response: ReceivedResponse;
  private readonly placer: AttemptPlacer;
  private readonly failures: SessionFailures;
  private readonly retries: SessionRetries;
  private readonly log: SessionLog;
  private readonly crashDetector: CrashDetector;
  private readonly trial: SuspectTrial;
  private readonly sender: AttemptSender;
  private readonly deadlineMs: number;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private readonly inactivityTimer: InactivityTimer;
  private readonly holder: AttemptHolder;
  private readonly flow: StreamFlow;
  private isPlacing = false;
  private isCheckingCrash = false;
  private hasEnded = false;

  /**
   * @param onEnded Called once when the request has ended, with the number of
   *     attempts that were sent.
   */
  constructor(
    private readonly context: GatewayContext,
    match: RouteMatch,
    request: ReceivedRequest,
    private readonly writer: ResponseWriter,
    private readonly onEnded: (sentAttempts: number) => void,
  ) {
    const {route} = match;
    const {metadata, receivedAtMs} = request;
    this.retryController = new RetryController(route);
    this.response = new ReceivedResponse(route, metadata, context);
    const service = drawService(route, context.draw());
    this.log = new SessionLog(context, match, request, service);
    this.deadlineMs = receivedAtMs + computeTimeLimit(metadata, route);
    this.placer = new AttemptPlacer(
      context,
      match,
      request,
      service,
      this.deadlineMs,
    );
    this.failures = new SessionFailures(
      this.placer,
      this.retryController,
      this.response,
      context.reach,
    );
    this.inactivityTimer = new InactivityTimer(
      route,
      this.retryController.isRepeatable,
      () => {
        this.handleTimeout();
      },
      () => {
        void this.guard(() => this.checkReachability());
      },
    );
    this.crashDetector = new CrashDetector(
      context,
      match,
      request,
      this.placer,
      this.log,
    );
    this.retries = new SessionRetries(
      context,
      this.placer,
      this.retryController,
      this.crashDetector,
      this.response,
      () => this.getLeftMs(),
    );
    this.trial = new SuspectTrial(
      context,
      this.placer,
      this.crashDetector,
      () => this.hasEnded,
    );
    this.sender = new AttemptSender(
      context,
      match,
      request,
      this.placer,
      this,
      placed => {
        this.handleSent(placed);
      },
      () => this.getLeftMs(),
    );
    this.holder = new AttemptHolder(
      this.placer,
      this.sender,
      this.response,
      () => {
        this.handleHeldProgress();
      },
    );
    this.flow = new StreamFlow(writer, this.sender, this.inactivityTimer);
  }

  start(): void {
    this.context.retryBudgets.recordRequest(this.placer.service);
    this.deadlineTimer = setTimeout(() => {
      this.endAtDeadline();
    }, this.getLeftMs());
    const failure = this.crashDetector.findFailure();
    if (failure !== undefined) this.fail(failure);
    else void this.guard(() => this.sendAttempt());
  }

  /** Cancels the request after the caller has closed the connection. */
  cancel(): void {
    if (this.hasEnded) return;
    this.endAttempt();
    this.finish(SessionOutcome.CALLER_GONE);
  }

  /** Fails the request because this host is stopping. */
  stop(): void {
    if (this.hasEnded) return;
    const ran = this.getExecutionStatus();
    this.endAttempt();
    this.fail(this.failures.createStopping(ran));
  }

  /**
   * Ends the request if it makes no progress, after this host has found that it
   * reaches no upstream: other hosts may serve it.
   */
  endStalled(): void {
    if (this.context.reach.isOutOfService) this.holder.discard();
    const {current} = this.sender;
    if (this.hasEnded || this.isCheckingCrash) return;
    if (!current || current.isHeld) return;
    if (!current.wasSent) {
      this.abortAttempt(AttemptOutcome.NOT_SENT, 'host reaches no upstream');
    } else if (!this.inactivityTimer.isRunning) this.handleTimeout();
  }

  /** Ends the attempt in progress if its upstream has left and is gone. */
  checkDeparture(): void {
    void this.guard(() => this.sender.checkDeparture(this.retries));
  }

  onHead(head: ResponseHead): boolean {
    this.response.recordHead(head);
    this.log.recordHead();
    const {status, rateLimit, unreadableRateLimit} = head;
    if (status !== MISDIRECTED_STATUS && unreadableRateLimit === undefined) {
      this.placer.recordLimit(rateLimit);
    }
    if (this.response.isStreaming) this.inactivityTimer.awaitEvent();
    return true;
  }

  onData(chunk: Buffer): void {
    this.relay(this.response.append(chunk));
    const {fault} = this.response;
    if (fault !== undefined) this.abortAttempt(AttemptOutcome.BROKEN, fault);
  }

  onEnd(reported: AttemptOutcome, detail: string): void {
    if (this.hasEnded) return;
    if (reported === AttemptOutcome.ANSWERED) {
      this.relay(this.response.finishEvents());
    }
    const {head, flaw} = this.response;
    if (reported !== AttemptOutcome.ANSWERED) this.handleEnd(reported, detail);
    else if (flaw) this.handleEnd(AttemptOutcome.BROKEN, flaw);
    else if (head?.endsWithConnection !== true) this.handleEnd(reported, '');
    else void this.guard(() => this.confirmEnd());
  }

  /**
   * Ends a response whose end only the connection shows. That of an upstream that
   * went down ends in the same way.
   */
  private async confirmEnd(): Promise<void> {
    const {current} = this.sender;
    this.inactivityTimer.stop();
    const unreachable = await this.placer.findUnreachable();
    if (this.hasEnded || this.sender.current !== current) return;
    const detail = 'upstream went down as its response without length ended';
    if (unreachable.length === 0) this.handleEnd(AttemptOutcome.ANSWERED, '');
    else this.handleEnd(AttemptOutcome.BROKEN, detail);
  }

  private handleEnd(outcome: AttemptOutcome, detail: string): void {
    const {head} = this.response;
    const status =
      outcome === AttemptOutcome.ANSWERED ? (head?.status ?? 0) : 0;
    const faultyAddress = head?.faultyAddress ?? '';
    this.recordOutcome(outcome, status, detail);
    if (this.crashDetector.mayHaveCrashed(outcome, faultyAddress)) {
      void this.guard(() => this.concludeAfterCheck(outcome, status, detail));
    } else {
      this.concludeAttempt(outcome, status, detail);
    }
  }

  private recordOutcome(
    outcome: AttemptOutcome,
    status: number,
    detail: string,
  ): void {
    const head = this.response.getHeadAfter(outcome);
    this.log.logAttemptEnd(outcome, status, detail, this.placer.currentAttempt);
    this.placer.recordOutcome(
      outcome,
      head?.status ?? 0,
      head?.faultyAddress ?? '',
      (head?.restMs ?? 0) > 0,
    );
  }

  /**
   * Concludes an attempt once it is known whether an upstream crashed, on which
   * the next attempt depends.
   */
  private async concludeAfterCheck(
    outcome: AttemptOutcome,
    status: number,
    detail: string,
  ): Promise<void> {
    this.isCheckingCrash = true;
    this.inactivityTimer.stop();
    await this.crashDetector.checkCrash(outcome);
    this.isCheckingCrash = false;
    if (!this.hasEnded) this.concludeAttempt(outcome, status, detail);
  }

  private concludeAttempt(
    outcome: AttemptOutcome,
    status: number,
    detail: string,
  ): void {
    const {head, isStreaming} = this.response;
    this.endAttempt();
    const step = this.retries.decideNext(outcome, status);
    const isUsable =
      step === NextStep.FORWARD_ANSWER &&
      status < SERVER_ERROR_STATUS &&
      (isStreaming || !this.writer.hasStarted);
    if (step === NextStep.RETRY) void this.guard(() => this.sendAttempt());
    else if (this.holder.isPending && !isUsable) this.holder.resume(this);
    else if (step === NextStep.FORWARD_ANSWER && head) this.endResponse(head);
    else this.fail(this.failures.createUnserved(detail));
  }

  private async sendAttempt(): Promise<void> {
    const {placements} = this.retries;
    this.isPlacing = true;
    const placed = await this.trial.place(placements, this.getLeftMs());
    this.isPlacing = false;
    if (this.hasEnded) this.placer.endAttempt();
    else if (this.holder.hasProgressed) {
      this.placer.withdraw();
      this.holder.resume(this);
    } else if ('placement' in placed) {
      this.response.restart();
      this.sender.send(placed, this.response.lastEventId);
    } else this.refuse(placed);
  }

  /** Runs a step; the request ends at once, and not at its deadline, if it throws. */
  private async guard(step: () => Promise<void>): Promise<void> {
    try {
      await step();
    } catch (error) {
      if (this.hasEnded) return;
      this.log.logFault(error);
      const ran = this.getExecutionStatus();
      this.endAttempt();
      this.fail(this.failures.createFault(ran));
    }
  }

  private handleSent(placed: PlacedAttempt): void {
    this.inactivityTimer.awaitResponse(placed.choice.plan);
    const {placements} = this.retries;
    this.log.logAttemptSent(placements, placed, this.getLeftMs());
  }

  private relay(events: Buffer): void {
    if (events.length === 0) return;
    this.holder.discard();
    this.inactivityTimer.awaitEvent();
    this.placer.recordEvents();
    this.log.recordEvents();
    const {head} = this.response;
    if (!this.writer.hasStarted && head) this.writer.start(head);
    this.flow.write(events);
  }

  /** Retries the request elsewhere when one of its engines is unreachable. */
  private async checkReachability(): Promise<void> {
    const {current} = this.sender;
    const unreachable = await this.placer.findUnreachable();
    if (this.hasEnded || this.isCheckingCrash) return;
    if (this.sender.current !== current || this.response.head) return;
    for (const engine of unreachable) {
      this.placer.penalize(engine, true, AttemptOutcome.TIMED_OUT, 0);
    }
    if (unreachable.length > 0) this.handleTimeout();
  }

  /**
   * Retries an unresponsive request elsewhere, at most once. A request that
   * cannot be retried keeps waiting, unless other hosts may serve it.
   */
  private handleTimeout(): void {
    if (this.hasEnded || !this.retries.mayLeaveSilent) return;
    const outcome = AttemptOutcome.TIMED_OUT;
    const detail = 'upstream did not respond in time';
    this.recordOutcome(outcome, 0, detail);
    // Here no upstream is left to go on; at another host the caller is served.
    if (!this.context.reach.isOutOfService) this.holder.hold();
    this.concludeAttempt(outcome, 0, detail);
  }

  /** Prefers a silent attempt that goes on to the one sent in its place. */
  private handleHeldProgress(): void {
    if (this.isPlacing || this.isCheckingCrash) return;
    this.endAttempt();
    this.holder.resume(this);
  }

  /** Cancels the attempt in progress and records its outcome. */
  private abortAttempt(outcome: AttemptOutcome, detail: string): void {
    this.sender.current?.cancel();
    this.onEnd(outcome, detail);
  }

  private endAtDeadline(): void {
    if (this.hasEnded) return;
    const ran = this.getExecutionStatus();
    this.endAttempt();
    this.fail(new Failure(ErrorKind.TIME_LIMIT, 'time limit exceeded', ran));
  }

  private endAttempt(): void {
    this.inactivityTimer.stop();
    this.sender.end();
    this.placer.endAttempt();
  }

  private endResponse(head: ResponseHead): void {
    this.crashDetector.recordAnswer(head.status);
    endResponse(this.writer, this.response, head);
    this.finish(
      head.status < SERVER_ERROR_STATUS
        ? SessionOutcome.ANSWERED
        : SessionOutcome.UPSTREAM_ERROR,
    );
  }

  /** Ends the request when no attempt can be placed. */
  private refuse(reason: CapacityShortage | Failure): void {
    if (this.holder.isPending) this.holder.resume(this);
    else this.fail(this.failures.createRefusal(reason));
  }

  private fail(failure: Failure): void {
    this.writer.fail(failure);
    this.finish(failure);
  }

  private finish(outcome: SessionOutcome | Failure): void {
    this.hasEnded = true;
    clearTimeout(this.deadlineTimer);
    this.inactivityTimer.stop();
    this.holder.discard();
    this.response.discardBody();
    const {sentAttempts} = this.sender;
    const {head, eventCount} = this.response;
    this.log.logEnd(outcome, head?.status, sentAttempts, eventCount);
    this.onEnded(sentAttempts);
  }

  /** Whether an upstream may have executed the request, in any attempt. */
  private getExecutionStatus(): ExecutionStatus {
    return this.sender.current === undefined
      ? this.retryController.ran
      : ExecutionStatus.UNKNOWN;
  }

  private getLeftMs(): number {
    return this.deadlineMs - this.context.clock.nowMs();
  }
}
