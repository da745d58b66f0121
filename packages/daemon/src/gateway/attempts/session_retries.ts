import {
  AttemptOutcome,
  NextStep,
  type RetryController,
} from '@parsleywood/forwarding';
import type {AttemptPlacer} from './attempt_placer.js';
import type {CrashDetector} from './crash_detector.js';
import type {GatewayContext} from '../gateway_context.js';
import type {ReceivedResponse} from './received_response.js';

/** Decides on the retries of one request by what this host knows. */
export class SessionRetries {
  private withdrawn = 0;

  /**
   * @param response Tells whether a further attempt could go on with it.
   * @param getLeftMs Returns the time until the deadline of the request.
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly placer: AttemptPlacer,
    private readonly retryController: RetryController,
    private readonly crashDetector: CrashDetector,
    private readonly response: ReceivedResponse,
    private readonly getLeftMs: () => number,
  ) {}

  /** Number of placements that have ended, also of attempts that were not sent. */
  get placements(): number {
    return this.retryController.attempts + this.withdrawn;
  }

  /** Whether the request may run again, or what the caller has of it go on elsewhere. */
  get isRepeatable(): boolean {
    const {retryController, response} = this;
    return retryController.isRepeatable && !response.resumeObstacle;
  }

  /**
   * Whether a silent attempt is to be left for another upstream, or for another host
   * if this one reaches none.
   */
  get mayLeaveSilent(): boolean {
    const {placer, retryController, context} = this;
    if (context.reach.isOutOfService) return retryController.isRepeatable;
    return (
      this.isRepeatable &&
      retryController.attempts === 0 &&
      retryController.allowsRetryAfterCancel(this.getLeftMs()) &&
      context.retryBudgets.hasRetry(placer.service) &&
      placer.hasCapacityElsewhere
    );
  }

  /** Records the end of an attempt and decides the next step. */
  decideNext(outcome: AttemptOutcome, status: number): NextStep {
    if (outcome === AttemptOutcome.WITHDRAWN) {
      // Placed again at no cost; the evacuated upstream is not chosen again.
      this.withdrawn++;
      return NextStep.RETRY;
    }
    const {context, placer, crashDetector, response} = this;
    const hasUpstream =
      response.resumeObstacle === undefined &&
      placer.hasUntriedUpstream &&
      !crashDetector.isBlocked &&
      context.reach.findRefusal() === undefined;
    return this.retryController.endAttempt(
      outcome,
      status,
      this.getLeftMs(),
      hasUpstream,
      () => context.retryBudgets.tryRetry(placer.service),
    );
  }
}
