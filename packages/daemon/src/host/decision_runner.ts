import type {Decision} from '@parsleywood/types';
import type {Clock} from './clock.js';
import {Timer} from './timer.js';

/** Runs a decision state machine: passes it events in order and applies the actions it returns. */
export class DecisionRunner<Event, Action> {
  private readonly timer: Timer;
  private readonly pendingEvents: Event[] = [];
  private running = false;
  private stopped = false;

  /**
   * @param wakeEvent Event to dispatch when the time of `wakeAtMs()` is reached.
   * @param apply Executes one action; may dispatch further events.
   */
  constructor(
    private readonly decision: Decision<Event, Action>,
    private readonly clock: Clock,
    wakeEvent: Event,
    private readonly apply: (action: Action) => void,
  ) {
    this.timer = new Timer(clock, () => {
      this.dispatch(wakeEvent);
    });
  }

  /** Handles an event at once, or after the current one if called while handling it. */
  dispatch(event: Event): void {
    if (this.stopped) return;
    this.pendingEvents.push(event);
    if (this.running) return;
    this.running = true;
    try {
      this.handlePendingEvents();
    } finally {
      this.running = false;
    }
    if (!this.stopped) this.timer.set(this.decision.wakeAtMs());
  }

  /** Cancels the timer; events dispatched later are dropped. */
  stop(): void {
    this.stopped = true;
    this.timer.clear();
  }

  private handlePendingEvents(): void {
    for (;;) {
      const event = this.pendingEvents.shift();
      if (event === undefined) return;
      const actions = this.decision.handle(event, this.clock.nowMs());
      for (const action of actions) this.apply(action);
    }
  }
}
