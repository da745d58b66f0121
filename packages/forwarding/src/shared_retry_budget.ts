import {SlidingWindowCounter} from './sliding_window_counter.js';

/**
 * Share of the budget that hosts use; the rest keeps every window within it.
 */
const USABLE_SHARE = 0.8;

/**
 * This host's part of a retry budget that all hosts of a site share: a ratio of
 * its own requests plus an equal part of the slack. Load pattern: many
 * upstreams of a service fail at the same time for every host.
 */
export class SharedRetryBudget {
  private readonly requests: SlidingWindowCounter;
  private readonly retries: SlidingWindowCounter;

  /**
   * @param ratio Retries allowed for each request.
   * @param slack Retries allowed on top of the ratio, over all hosts together.
   * @param windowMs Length of the sliding window, in milliseconds.
   */
  constructor(
    private readonly ratio: number,
    private readonly slack: number,
    windowMs: number,
  ) {
    this.requests = new SlidingWindowCounter(windowMs);
    this.retries = new SlidingWindowCounter(windowMs);
  }

  recordRequest(nowMs: number): void {
    this.requests.add(nowMs);
  }

  /**
   * Returns whether the budget allows one more retry.
   *
   * @param hosts Number of hosts that share the slack, including this one.
   */
  hasRetry(hosts: number, nowMs: number): boolean {
    const own = this.ratio * this.requests.count(nowMs);
    const allowed = USABLE_SHARE * (own + this.slack / Math.max(hosts, 1));
    return this.retries.count(nowMs) + 1 <= allowed;
  }

  /** Takes one retry; false when the budget is used up. */
  tryRetry(hosts: number, nowMs: number): boolean {
    if (!this.hasRetry(hosts, nowMs)) return false;
    this.retries.add(nowMs);
    return true;
  }
}
