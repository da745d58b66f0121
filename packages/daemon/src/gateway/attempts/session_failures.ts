import type {CapacityShortage} from '@parsleywood/dispatch';
import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {
  chooseRetryAfterMs,
  type RetryController,
} from '@parsleywood/forwarding';
import type {AttemptPlacer} from './attempt_placer.js';
import {createCapacityFailure} from './create_capacity_failure.js';
import {createStoppingFailure} from '../callers/create_stopping_failure.js';
import type {ReceivedResponse} from './received_response.js';
import type {ReachMonitor} from '../upstreams/reach_monitor.js';

/** Retry-After of a response when no upstream could be reached. */
const UNAVAILABLE_RETRY_MS = 300;

/** Creates the failures with which one request may end. */
export class SessionFailures {
  constructor(
    private readonly placer: AttemptPlacer,
    private readonly retryController: RetryController,
    private readonly response: ReceivedResponse,
    private readonly reach: ReachMonitor,
  ) {}

  /** For a request of which no attempt can be placed. */
  createRefusal(reason: CapacityShortage | Failure): Failure {
    const {placer, retryController} = this;
    const failure =
      reason instanceof Failure
        ? reason
        : createCapacityFailure(placer, reason.waitMs);
    return retryController.attempts === 0 || placer.isPromptTooLong
      ? failure
      : this.createUnserved(failure.message);
  }

  /**
   * For a request whose attempts have all failed.
   *
   * @param detail How the last one ended; empty if its upstream refused it.
   */
  createUnserved(detail: string): Failure {
    const message = this.explainEnd(detail || 'upstream refused the request');
    const waitMs = this.placer.planReturnAfterFailureMs();
    const {retryAfterMs: otherHostsMs = UNAVAILABLE_RETRY_MS} =
      this.reach.findRefusal() ?? {};
    const retryAfterMs = waitMs > 0 ? chooseRetryAfterMs(waitMs) : otherHostsMs;
    return this.retryController.createFailure(message, retryAfterMs);
  }

  /** For a request that this host could not go on with. */
  createFault(ran: ExecutionStatus): Failure {
    const message = 'host could not go on with the request';
    if (ran === ExecutionStatus.NO) return this.createUnserved(message);
    return new Failure(ErrorKind.UPSTREAM_FAILED, message, ran);
  }

  /**
   * For a request that is open as this host closes. The failure must not invite a
   * retry of one that may have been executed.
   */
  createStopping(ran: ExecutionStatus): Failure {
    return ran === ExecutionStatus.NO
      ? createStoppingFailure()
      : new Failure(ErrorKind.UPSTREAM_FAILED, 'host is stopping', ran);
  }

  /** Adds why no upstream could go on with a stream that broke off. */
  private explainEnd(detail: string): string {
    const {resumeObstacle} = this.response;
    return this.retryController.isRepeatable && resumeObstacle !== undefined
      ? `${detail}; the stream cannot go on elsewhere: ${resumeObstacle}`
      : detail;
  }
}
