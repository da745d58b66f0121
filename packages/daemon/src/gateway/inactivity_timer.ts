import type {ReadPlan} from '@parsleywood/dispatch';
import {attemptPatience, type Route} from '@parsleywood/forwarding';

/** Watches for attempts that stay silent, where the request may move elsewhere. */
export class SilenceWatch {
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param isRepeatable Whether the request may be sent a second time.
   * @param onSilent Told that nothing came for too long.
   * @param onDoubt Told that the first event is late, before it is too late.
   */
  constructor(
    private readonly route: Route,
    private readonly isRepeatable: boolean,
    private readonly onSilent: () => void,
    private readonly onDoubt: () => void,
  ) {}

  /** @param plan Absent for plain calls. */
  expectAnswer(plan: ReadPlan | undefined): void {
    const {route} = this;
    if (plan === undefined) {
      this.arm(attemptPatience.forCall(route), this.onSilent);
      return;
    }
    const {expectedMs} = plan;
    const limitMs = attemptPatience.forFirstEvent(route, expectedMs);
    const checkMs = attemptPatience.untilCheck(expectedMs);
    if (checkMs >= limitMs) {
      this.arm(limitMs, this.onSilent);
      return;
    }
    this.arm(checkMs, () => {
      this.arm(limitMs - checkMs, this.onSilent);
      this.onDoubt();
    });
  }

  /** The answer has begun: the next event is expected within a pause. */
  expectEvent(): void {
    this.arm(attemptPatience.forPause(this.route), this.onSilent);
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private arm(afterMs: number, act: () => void): void {
    this.stop();
    if (this.isRepeatable) this.timer = setTimeout(act, afterMs);
  }
}
