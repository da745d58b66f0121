/** Time for which a failing upstream is first avoided, in milliseconds. */
const FIRST_BACKOFF_MS = 500;
/** Longest time for which it is avoided; upstreams recover within seconds. */
const MAX_BACKOFF_MS = 4_000;
/** Consecutive failures after which an upstream is avoided. */
const FAILURES_TO_AVOID = 2;
/** Weight of the newest measurement in the moving average of the slowdown. */
const SLOWDOWN_SMOOTHING_FACTOR = 0.5;
/** Bounds of the slowdown. Values outside mean that the forecast is wrong. */
const MIN_SLOWDOWN_FACTOR = 1;
const MAX_SLOWDOWN_FACTOR = 10;

interface Health {
  failures: number;
  avoidUntilMs: number;
  /** Whether it gave no response at all and has not been reached since. */
  isUnreachable: boolean;
  slowdownFactor: number;
}

/**
 * Tracks which upstreams to avoid, from the results of requests instead of probes.
 * Load pattern: upstreams fail some or all of their requests while their liveness
 * check passes.
 */
export class UpstreamHealth {
  private readonly byUpstream = new Map<string, Health>();
  /** Avoided upstreams whose return has not been taken. */
  private readonly avoided = new Set<string>();

  /**
   * Records a failed request.
   *
   * @param isSilent Whether the upstream gave no response at all.
   * @return Whether this failure made the upstream avoided when it was not before.
   */
  recordFailure(upstream: string, isSilent: boolean, nowMs: number): boolean {
    const health = this.findOrCreate(upstream);
    health.failures += isSilent ? FAILURES_TO_AVOID : 1;
    if (isSilent) health.isUnreachable = true;
    if (health.failures < FAILURES_TO_AVOID) return false;
    const doublings = health.failures - FAILURES_TO_AVOID;
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** doublings,
    );
    const isNewlyAvoided = health.avoidUntilMs <= nowMs;
    health.avoidUntilMs = nowMs + backoffMs;
    this.avoided.add(upstream);
    return isNewlyAvoided;
  }

  recordSuccess(upstream: string): void {
    const health = this.byUpstream.get(upstream);
    if (health === undefined) return;
    health.failures = 0;
    health.avoidUntilMs = 0;
    health.isUnreachable = false;
  }

  /**
   * Records that the upstream accepts connections again. It stays avoided until its
   * backoff ends or a request succeeds.
   */
  recordReachable(upstream: string): void {
    const health = this.byUpstream.get(upstream);
    if (health !== undefined) health.isUnreachable = false;
  }

  /** Forgets the failures of all upstreams that gave no response at all. */
  resetUnreachable(): void {
    for (const id of this.listUnreachable()) {
      // The paths of this host failed, and not the upstream.
      this.avoided.delete(id);
      this.recordSuccess(id);
    }
  }

  /** Returns, once, the upstreams that were avoided and are no longer. */
  takeReturned(nowMs: number): string[] {
    const returned = this.listReturned(nowMs);
    for (const id of returned) this.avoided.delete(id);
    return returned;
  }

  /** Lists the upstreams that `takeReturned` would return. */
  listReturned(nowMs: number): string[] {
    if (this.avoided.size === 0) return [];
    return [...this.avoided].filter(id => !this.isAvoided(id, nowMs));
  }

  /** Upstreams that gave no response at all and have not been reached since. */
  listUnreachable(): string[] {
    return [...this.byUpstream]
      .filter(([, {isUnreachable}]) => isUnreachable)
      .map(([id]) => id);
  }

  /**
   * Adds a measurement of engine speed to the moving average.
   *
   * @param ratio Measured pass time divided by the expected one.
   */
  recordPassTimeRatio(upstream: string, ratio: number): void {
    const health = this.findOrCreate(upstream);
    const bounded = Math.min(
      Math.max(ratio, MIN_SLOWDOWN_FACTOR),
      MAX_SLOWDOWN_FACTOR,
    );
    health.slowdownFactor +=
      SLOWDOWN_SMOOTHING_FACTOR * (bounded - health.slowdownFactor);
  }

  isAvoided(upstream: string, nowMs: number): boolean {
    return (this.byUpstream.get(upstream)?.avoidUntilMs ?? 0) > nowMs;
  }

  getSlowdownFactor(upstream: string): number {
    return this.byUpstream.get(upstream)?.slowdownFactor ?? 1;
  }

  /** Drops the state of upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const id of this.byUpstream.keys()) {
      if (upstreams.has(id)) continue;
      this.byUpstream.delete(id);
      this.avoided.delete(id);
    }
  }

  private findOrCreate(upstream: string): Health {
    const existing = this.byUpstream.get(upstream);
    if (existing !== undefined) return existing;
    const health = {
      failures: 0,
      avoidUntilMs: 0,
      isUnreachable: false,
      slowdownFactor: 1,
    };
    this.byUpstream.set(upstream, health);
    return health;
  }
}
