import type {CapacityShortage} from '@parsleywood/dispatch';
import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {
  AttemptOutcome,
  EventCursor,
  NextStep,
  RequestKind,
  RetryController,
  type RouteMatch,
  type Route,
} from '@parsleywood/forwarding';
import type {ResponseHead} from './response_head.js';
import type {ResponseListener} from './response_listener.js';
import type {ResponseWriter} from './response_writer.js';
import {createCapacityFailure} from './create_capacity_failure.js';
import {createStoppingFailure} from './create_stopping_failure.js';
import {CrashDetector} from './crash_detector.js';
import {drawService} from './draw_service.js';
import {computeTimeLimit} from './compute_time_limit.js';
import type {GatewayContext} from './gateway_context.js';
import type {PlacedAttempt} from './placed_attempt.js';
import {ResponseBuffer} from './response_buffer.js';
import type {ReceivedRequest} from './received_request.js';
import {SessionLog} from './session_log.js';
import {SuspectTrial} from './suspect_trial.js';
import {SessionOutcome} from './session_outcome.js';
import {InactivityTimer} from './inactivity_timer.js';
import {AttemptPlacer} from './attempt_placer.js';
import {AttemptSender} from './attempt_sender.js';

/** Retry-After of a response when no upstream could be reached. */
const UNAVAILABLE_RETRY_MS = 300;
const SERVER_ERROR_STATUS = 500;
const OK_STATUS = 200;
const MISDIRECTED_STATUS = 421;
const FAULT_MESSAGE = 'host could not go on with the request';

/**
 * Forwards one request: sends attempts, relays the response, enforces the
 * deadline.
 */
export class ForwardSession implements ResponseListener {
  private readonly retryController: RetryController;
  private readonly route: Route;
  private readonly cursor: EventCursor;
  private readonly placer: AttemptPlacer;
  private readonly log: SessionLog;
  private readonly crashDetector: CrashDetector;
  private readonly trial: SuspectTrial;
  private readonly sender: AttemptSender;
  private readonly deadlineMs: number;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private readonly inactivityTimer: InactivityTimer;
  private head: ResponseHead | undefined;
  private responseBuffer = new ResponseBuffer();
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
    this.route = route;
    this.retryController = new RetryController(route);
    const {metadata, receivedAtMs} = request;
    this.cursor = new EventCursor(metadata.lastEventId);
    const service = drawService(route, context.draw());
    this.log = new SessionLog(context, match, request, service);
    this.deadlineMs = receivedAtMs + computeTimeLimit(metadata, route);
    const {deadlineMs} = this;
    this.placer = new AttemptPlacer(
      context,
      match,
      request,
      service,
      deadlineMs,
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
  }

  start(): void {
    this.context.retryBudgets.recordRequest(this.placer.service);
    this.deadlineTimer = setTimeout(() => {
      this.endAtDeadline();
    }, this.getLeftMs());
    if (this.crashDetector.shouldRefuse()) {
      this.fail(this.crashDetector.createFailure());
    } else {
      void this.guard(() => this.sendAttempt());
    }
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
    // The error must not invite a retry of a request that may have been executed.
    this.fail(
      ran === ExecutionStatus.NO
        ? createStoppingFailure()
        : new Failure(ErrorKind.UPSTREAM_FAILED, 'host is stopping', ran),
    );
  }

  onHead(head: ResponseHead): boolean {
    this.head = head;
    this.log.recordHead();
    if (head.status !== MISDIRECTED_STATUS) {
      this.placer.recordLimit(head.rateLimit);
    }
    if (this.isStreaming()) {
      this.inactivityTimer.awaitEvent();
    }
    return true;
  }

  onData(chunk: Buffer): void {
    if (!this.isStreaming()) {
      this.responseBuffer.append(chunk);
      const {fault} = this.responseBuffer;
      if (fault !== undefined) this.abortAttempt(AttemptOutcome.BROKEN, fault);
      return;
    }
    const events = this.cursor.append(chunk);
    if (events.length > 0) this.relay(events);
    if (this.cursor.hasFault) {
      this.abortAttempt(
        AttemptOutcome.BROKEN,
        'response is not a valid event stream',
      );
    }
  }

  onEnd(reported: AttemptOutcome, detail: string): void {
    if (this.hasEnded) return;
    const isTruncated = this.isStreaming() && this.cursor.hasPartialEvent;
    if (reported !== AttemptOutcome.ANSWERED) {
      this.handleEnd(reported, detail);
    } else if (isTruncated) {
      this.handleEnd(AttemptOutcome.BROKEN, 'stream ended inside an event');
    } else if (this.head?.endsWithConnection === true) {
      void this.guard(() => this.confirmEnd());
    } else {
      this.handleEnd(reported, detail);
    }
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
    if (unreachable.length === 0) this.handleEnd(AttemptOutcome.ANSWERED, '');
    else {
      this.handleEnd(
        AttemptOutcome.BROKEN,
        'upstream went down as its response without length ended',
      );
    }
  }

  private handleEnd(outcome: AttemptOutcome, detail: string): void {
    const {head} = this;
    const status =
      outcome === AttemptOutcome.ANSWERED ? (head?.status ?? 0) : 0;
    this.log.logAttemptEnd(outcome, status, detail, this.placer.currentAttempt);
    const faultyAddress = head?.faultyAddress ?? '';
    this.placer.recordOutcome(outcome, head?.status ?? 0, faultyAddress);
    if (this.crashDetector.mayHaveCrashed(outcome, faultyAddress)) {
      void this.guard(() => this.concludeAfterCheck(outcome, status, detail));
    } else {
      this.concludeAttempt(outcome, status, detail);
    }
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
    const {head} = this;
    this.endAttempt();
    const step = this.retryController.endAttempt(
      outcome,
      status,
      this.getLeftMs(),
      this.placer.hasUntriedUpstream && !this.crashDetector.shouldRefuse(),
      () => this.context.retryBudgets.tryRetry(this.placer.service),
    );
    if (step === NextStep.RETRY) void this.guard(() => this.sendAttempt());
    else if (step === NextStep.FORWARD_ANSWER && head) this.endResponse(head);
    else this.failAfterAttempts(detail || 'upstream refused the request');
  }

  private async sendAttempt(): Promise<void> {
    const {attempts} = this.retryController;
    const placed = await this.trial.place(attempts, this.getLeftMs());
    if (this.hasEnded) this.placer.endAttempt();
    else if ('placement' in placed) this.prepare(placed);
    else this.refuse(placed);
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
      if (ran === ExecutionStatus.NO) this.failAfterAttempts(FAULT_MESSAGE);
      else {
        this.fail(new Failure(ErrorKind.UPSTREAM_FAILED, FAULT_MESSAGE, ran));
      }
    }
  }

  private prepare(placed: PlacedAttempt): void {
    this.head = undefined;
    this.responseBuffer = new ResponseBuffer();
    this.cursor.resume();
    this.sender.send(placed, this.cursor.lastId);
  }

  private handleSent(placed: PlacedAttempt): void {
    this.inactivityTimer.awaitResponse(placed.choice.plan);
    const {attempts} = this.retryController;
    this.log.logAttemptSent(attempts, placed, this.getLeftMs());
  }

  private relay(events: Buffer): void {
    this.inactivityTimer.awaitEvent();
    this.placer.recordEvents();
    this.log.recordEvents();
    if (!this.writer.hasStarted && this.head) this.writer.start(this.head);
    this.writer.write(events);
  }

  /** Retries the request elsewhere when one of its engines is unreachable. */
  private async checkReachability(): Promise<void> {
    const {current} = this.sender;
    const unreachable = await this.placer.findUnreachable();
    if (this.hasEnded || this.isCheckingCrash) return;
    if (this.sender.current !== current || this.head) return;
    for (const engine of unreachable) {
      this.placer.penalize(engine, true, AttemptOutcome.TIMED_OUT, 0);
    }
    if (unreachable.length > 0) this.handleTimeout();
  }

  /**
   * Retries an unresponsive request elsewhere, at most once. A request that
   * cannot be retried keeps waiting.
   */
  private handleTimeout(): void {
    if (this.hasEnded || !this.mayRetryElsewhere()) return;
    this.abortAttempt(
      AttemptOutcome.TIMED_OUT,
      'upstream did not respond in time',
    );
  }

  /** Cancels the attempt in progress and records its outcome. */
  private abortAttempt(outcome: AttemptOutcome, detail: string): void {
    this.sender.current?.cancel();
    this.onEnd(outcome, detail);
  }

  private mayRetryElsewhere(): boolean {
    const {placer, retryController, context} = this;
    return (
      retryController.attempts === 0 &&
      retryController.allowsRetryAfterCancel(this.getLeftMs()) &&
      context.retryBudgets.hasRetry(placer.service) &&
      placer.hasCapacityElsewhere
    );
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
    if (this.isStreaming()) {
      if (!this.writer.hasStarted) this.writer.start(head);
      this.writer.end();
    } else if (this.writer.hasStarted) {
      // The head of an earlier attempt is already sent, and this answer is no part
      // of that one. Only closing the connection can signal the failure.
      this.writer.abort();
    } else {
      this.writer.send(head, this.responseBuffer.join());
    }
    this.finish(
      head.status < SERVER_ERROR_STATUS
        ? SessionOutcome.ANSWERED
        : SessionOutcome.UPSTREAM_ERROR,
    );
  }

  /** Ends the request when no attempt can be placed. */
  private refuse(reason: CapacityShortage | Failure): void {
    const failure =
      reason instanceof Failure
        ? reason
        : createCapacityFailure(this.placer, reason.waitMs);
    if (this.retryController.attempts === 0 || this.placer.isPromptTooLong) {
      this.fail(failure);
    } else {
      this.failAfterAttempts(failure.message);
    }
  }

  private failAfterAttempts(message: string): void {
    this.fail(
      this.retryController.createFailure(message, UNAVAILABLE_RETRY_MS),
    );
  }

  private fail(failure: Failure): void {
    if (this.writer.hasStarted) this.writer.abort();
    else this.writer.fail(failure);
    this.finish(failure);
  }

  private finish(outcome: SessionOutcome | Failure): void {
    this.hasEnded = true;
    clearTimeout(this.deadlineTimer);
    this.inactivityTimer.stop();
    const {sender, cursor, head} = this;
    this.log.logEnd(outcome, head?.status, sender.sentAttempts, cursor.count);
    this.onEnded(sender.sentAttempts);
  }

  private isStreaming(): boolean {
    return (
      this.route.kind === RequestKind.STREAM &&
      this.head?.status === OK_STATUS &&
      this.head.isEventStream
    );
  }

  /**
   * Whether an upstream may have executed the request, in this or an earlier
   * attempt.
   */
  private getExecutionStatus(): ExecutionStatus {
    return this.sender.current === undefined
      ? this.retryController.ran
      : ExecutionStatus.UNKNOWN;
  }

  private getLeftMs(): number {
    return this.deadlineMs - this.context.clock.nowMs();
  }
}
