/** Lets requests that are refused one after the other come again one after the other. */
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
    const dueMs = Math.max(nowMs + firstMs, this.nextMs);
    const atMs = Math.min(dueMs, nowMs + Math.max(firstMs, latestMs));
    this.nextMs = atMs + stepMs;
    return atMs - nowMs;
  }
}
