/**
 * Lets requests that are refused one after the other come again one after the other. Load
 * pattern: callers that are refused together would return together.
 */
export class ReturnSchedule {
  private nextMs = -Infinity;

  /**
   * Returns the time after which a refused request may come again, in milliseconds.
   *
   * @param firstMs Time until one request can be served.
   * @param stepMs Time between two that can be served.
   * @param latestMs Time until all can be served.
   */
  plan(
    firstMs: number,
    stepMs: number,
    nowMs: number,
    latestMs = Infinity,
  ): number {
    const waitMs = this.preview(firstMs, nowMs, latestMs);
    this.nextMs = nowMs + waitMs + stepMs;
    return waitMs;
  }

  /** Returns the same, and leaves the turn to the next request. */
  preview(firstMs: number, nowMs: number, latestMs = Infinity): number {
    const dueMs = Math.max(nowMs + firstMs, this.nextMs);
    const atMs = Math.min(dueMs, nowMs + Math.max(firstMs, latestMs));
    return atMs - nowMs;
  }

  copy(): ReturnSchedule {
    const copy = new ReturnSchedule();
    copy.nextMs = this.nextMs;
    return copy;
  }
}
