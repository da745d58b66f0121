/** First time for which a failing upstream gets no work, in milliseconds. */
const FIRST_AVOID_MS = 500;
/** Longest such time: upstreams are back within seconds. */
const MAX_AVOID_MS = 4_000;
/** Failures in a row after which an upstream is avoided. */
const FAILURES_TO_AVOID = 2;
/** Weight of the newest measurement in the mean slowness. */
const SLOWNESS_WEIGHT = 0.5;
/** Bounds of slowness: beyond them the forecast is what is wrong. */
const MIN_SLOWNESS = 1;
const MAX_SLOWNESS = 10;

interface Health {
  failures: number;
  avoidUntilMs: number;
  /** Whether it did not answer at all the last time. */
  isUnreached: boolean;
  slowness: number;
}

/**
 * Which upstreams to avoid, from the answers of requests rather than probes.
 * Load pattern: upstreams that fail a part of their requests, or all, while their
 * liveness check says otherwise.
 */
export class UpstreamHealth {
  private readonly known = new Map<string, Health>();

  /**
   * @param isSilent Whether it did not answer at all.
   * @return Whether the upstream is avoided from now on.
   */
  takeFailure(upstream: string, isSilent: boolean, nowMs: number): boolean {
    const health = this.find(upstream);
    health.failures += isSilent ? FAILURES_TO_AVOID : 1;
    if (isSilent) health.isUnreached = true;
    if (health.failures < FAILURES_TO_AVOID) return false;
    const doublings = health.failures - FAILURES_TO_AVOID;
    const avoidMs = Math.min(MAX_AVOID_MS, FIRST_AVOID_MS * 2 ** doublings);
    const isNews = health.avoidUntilMs <= nowMs;
    health.avoidUntilMs = nowMs + avoidMs;
    return isNews;
  }

  takeSuccess(upstream: string): void {
    const health = this.known.get(upstream);
    if (health === undefined) return;
    health.failures = 0;
    health.avoidUntilMs = 0;
    health.isUnreached = false;
  }

  /** It takes connections again; its next answers tell the rest. */
  takeReached(upstream: string): void {
    const health = this.known.get(upstream);
    if (health !== undefined) health.isUnreached = false;
  }

  /** Upstreams that did not answer at all, and were not reached since. */
  unreached(): string[] {
    return [...this.known]
      .filter(([, {isUnreached}]) => isUnreached)
      .map(([name]) => name);
  }

  /** @param ratio Time of a pass against the one expected. */
  takePace(upstream: string, ratio: number): void {
    const health = this.find(upstream);
    const bounded = Math.min(Math.max(ratio, MIN_SLOWNESS), MAX_SLOWNESS);
    health.slowness += SLOWNESS_WEIGHT * (bounded - health.slowness);
  }

  isAvoided(upstream: string, nowMs: number): boolean {
    return (this.known.get(upstream)?.avoidUntilMs ?? 0) > nowMs;
  }

  slowness(upstream: string): number {
    return this.known.get(upstream)?.slowness ?? 1;
  }

  /** Forgets upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const name of this.known.keys()) {
      if (!upstreams.has(name)) this.known.delete(name);
    }
  }

  private find(upstream: string): Health {
    const known = this.known.get(upstream);
    if (known !== undefined) return known;
    const health = {
      failures: 0,
      avoidUntilMs: 0,
      isUnreached: false,
      slowness: 1,
    };
    this.known.set(upstream, health);
    return health;
  }
}
