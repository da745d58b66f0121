import {SlidingCount} from './sliding_count.js';

/** Part of the site's budget that hosts spend, so that no window overshoots. */
const USED_PART = 0.8;

/**
 * This host's part of a retry budget that all hosts of a site share: a ratio of
 * its own requests, and an even part of what is allowed beyond the ratio.
 * Load pattern: many upstreams of a service fail at once at every host.
 */
export class SharedRetryBudget {
  private readonly requests: SlidingCount;
  private readonly retries: SlidingCount;

  /**
   * @param ratio Retries allowed for each request.
   * @param slack Retries allowed beyond that, over all hosts.
   * @param windowMs Length of the window in which they count.
   */
  constructor(
    private readonly ratio: number,
    private readonly slack: number,
    windowMs: number,
  ) {
    this.requests = new SlidingCount(windowMs);
    this.retries = new SlidingCount(windowMs);
  }

  recordRequest(nowMs: number): void {
    this.requests.add(nowMs);
  }

  /**
   * Tells whether a retry is left.
   *
   * @param hosts Number of hosts that share the slack, this one included.
   */
  hasRetry(hosts: number, nowMs: number): boolean {
    const own = this.ratio * this.requests.count(nowMs);
    const allowed = USED_PART * (own + this.slack / Math.max(hosts, 1));
    return this.retries.count(nowMs) + 1 <= allowed;
  }

  /** Takes one retry; false when the budget is used up. */
  tryRetry(hosts: number, nowMs: number): boolean {
    if (!this.hasRetry(hosts, nowMs)) return false;
    this.retries.add(nowMs);
    return true;
  }
}
