/** Longest rest; an upstream that asks for more is tried again after it. */
const MAX_REST_MS = 3_600_000;
/** Time over which refused requests come again after a rest. */
const RETURN_SPREAD_MS = 500;

/**
 * Keeps the requests of this host from upstreams that asked it for a rest. Load
 * pattern: upstreams that are full refuse every request for some seconds, and name
 * the time, while others of their service are idle.
 *
 * Upstreams ask each host for itself, so that the others learn nothing from it.
 */
export class UpstreamRests {
  private readonly untilMs = new Map<string, number>();

  /** @param draw Returns a random number in [0, 1). */
  constructor(private readonly draw: () => number) {}

  /**
   * Records that an upstream asked for a rest. One that is named later does not
   * shorten an earlier one.
   *
   * @return Whether it did not rest before.
   */
  record(upstream: string, restMs: number, nowMs: number): boolean {
    const isNew = !this.isResting(upstream, nowMs);
    const untilMs = nowMs + Math.min(restMs, MAX_REST_MS);
    const knownMs = this.untilMs.get(upstream) ?? -Infinity;
    this.untilMs.set(upstream, Math.max(knownMs, untilMs));
    return isNew;
  }

  isResting(upstream: string, nowMs: number): boolean {
    return this.getLeftMs(upstream, nowMs) > 0;
  }

  /** Returns how much longer an upstream rests, in milliseconds; 0 if it does not. */
  getLeftMs(upstream: string, nowMs: number): number {
    return Math.max(0, (this.untilMs.get(upstream) ?? 0) - nowMs);
  }

  /**
   * Returns the time after which a request that found no upstream may come again,
   * in milliseconds; 0 if one of the upstreams does not rest.
   */
  planReturnMs(upstreams: readonly string[], nowMs: number): number {
    const firstMs = Math.min(...upstreams.map(id => this.getLeftMs(id, nowMs)));
    const isKnown = firstMs > 0 && Number.isFinite(firstMs);
    return isKnown ? firstMs + RETURN_SPREAD_MS * this.draw() : 0;
  }

  /** Copies the state, with another source of random numbers. */
  copy(draw: () => number): UpstreamRests {
    const copy = new UpstreamRests(draw);
    for (const [id, untilMs] of this.untilMs) copy.untilMs.set(id, untilMs);
    return copy;
  }

  /** Drops the rests of upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const id of [...this.untilMs.keys()]) {
      if (!upstreams.has(id)) this.untilMs.delete(id);
    }
  }
}
