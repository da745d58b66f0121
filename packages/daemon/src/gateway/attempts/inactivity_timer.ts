import type {PrefillPlan} from '@parsleywood/dispatch';
import {attemptTimeouts, type Route} from '@parsleywood/forwarding';

/** Maximum delay of a Node.js timer; a longer one would end at once. */
const MAX_TIMER_MS = 2_147_483_647;

/**
 * Detects attempts without progress, for requests that may be retried
 * elsewhere.
 */
export class InactivityTimer {
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param isRepeatable Whether the request may be sent again; otherwise the
   *     timer never starts.
   * @param onTimeout Called when the expected response or event is missing at
   *     its timeout.
   * @param onOverdue Called when the first event is overdue, before its
   *     timeout.
   */
  constructor(
    private readonly route: Route,
    private readonly isRepeatable: boolean,
    private readonly onTimeout: () => void,
    private readonly onOverdue: () => void,
  ) {}

  /** Whether progress is awaited, and its timeout has not passed. */
  get isRunning(): boolean {
    return this.timer !== undefined;
  }

  /** @param plan Undefined for services without engines. */
  awaitResponse(plan: PrefillPlan | undefined): void {
    const {route} = this;
    if (plan === undefined) {
      this.arm(attemptTimeouts.getCallTimeoutMs(route), this.onTimeout);
      return;
    }
    const {expectedMs} = plan;
    const limitMs = attemptTimeouts.getFirstEventTimeoutMs(route, expectedMs);
    const checkMs = attemptTimeouts.getReachabilityCheckDelayMs(expectedMs);
    if (checkMs >= limitMs) {
      this.arm(limitMs, this.onTimeout);
      return;
    }
    this.arm(checkMs, () => {
      this.arm(limitMs - checkMs, this.onTimeout);
      this.onOverdue();
    });
  }

  /** Restarts the timer for the next event of a response that has begun. */
  awaitEvent(): void {
    this.arm(attemptTimeouts.getEventTimeoutMs(this.route), this.onTimeout);
  }

  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private arm(afterMs: number, callback: () => void): void {
    this.stop();
    if (!this.isRepeatable) return;
    this.timer = setTimeout(
      () => {
        this.timer = undefined;
        callback();
      },
      Math.min(afterMs, MAX_TIMER_MS),
    );
  }
}
