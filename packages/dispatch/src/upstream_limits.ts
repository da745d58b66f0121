import type {Placement} from './placement.js';
import {ReturnSchedule} from './return_schedule.js';
import {TokenBucket} from './token_bucket.js';
import type {UpstreamLimit} from './upstream_limit.js';

const MS_PER_SECOND = 1_000;
/** Time without requests after which a limited upstream takes a burst. */
const BURST_MS = 500;
const MIN_BURST = 1.5;
/**
 * Tokens over which hosts spread their next requests, so that not all of them
 * take the same token before they hear of each other.
 */
const SPREAD_TOKENS = 0.5;

interface Limit {
  perSecond: number;
  /** Requests that may be sent now; below 0 if hosts sent at the same time. */
  readonly bucket: TokenBucket;
  /** Tokens at which this host sends its next request. */
  threshold: number;
}

/**
 * Keeps the requests of all hosts to upstreams that limit them within the limits.
 * Every host counts the placements of all hosts, so that what one host does not
 * use is left to the others.
 */
export class UpstreamLimits {
  private readonly byUpstream = new Map<string, Limit>();
  /** Start of the latest attempt that told whether an upstream has a limit. */
  private readonly toldAtMs = new Map<string, number>();
  private returns = new ReturnSchedule();

  /** @param draw Returns a random number in [0, 1). */
  constructor(private readonly draw: () => number) {}

  /**
   * Applies what a response told.
   *
   * @param perSecond Requests a second that the upstream takes from all hosts;
   *     undefined if the response named no limit.
   * @param startedAtMs Start of the attempt that got the response.
   * @return Whether the limit changed.
   */
  update(
    upstream: string,
    perSecond: number | undefined,
    startedAtMs: number,
    nowMs: number,
  ): boolean {
    const known = this.byUpstream.get(upstream);
    if (known === undefined && perSecond === undefined) return false;
    // Responses may overtake each other; the newest attempt tells.
    if (startedAtMs < (this.toldAtMs.get(upstream) ?? -Infinity)) return false;
    this.toldAtMs.set(upstream, startedAtMs);
    if (known?.perSecond === perSecond) return false;
    if (perSecond === undefined) this.byUpstream.delete(upstream);
    else if (known === undefined) {
      const bucket = new TokenBucket(perSecond, toBurst(perSecond), nowMs);
      const threshold = this.drawThreshold();
      this.byUpstream.set(upstream, {perSecond, bucket, threshold});
    } else {
      known.perSecond = perSecond;
      known.bucket.setRate(perSecond, toBurst(perSecond), nowMs);
    }
    return true;
  }

  /** Lists the limits that hold, each with the start of the attempt that told it. */
  list(): UpstreamLimit[] {
    return [...this.byUpstream].map(([upstream, {perSecond}]) => ({
      upstream,
      perSecond,
      toldAtMs: this.toldAtMs.get(upstream) ?? 0,
    }));
  }

  /** Counts an attempt of any host at all its upstreams. */
  recordPlacement({parts}: Placement, nowMs: number): void {
    for (const upstream of new Set(parts.map(part => part.upstream))) {
      const limit = this.byUpstream.get(upstream);
      if (limit === undefined) continue;
      limit.bucket.take(nowMs);
      limit.threshold = this.drawThreshold();
    }
  }

  /** Whether an upstream may be sent a request now. */
  mayTake(upstream: string, nowMs: number): boolean {
    const limit = this.byUpstream.get(upstream);
    return limit === undefined || limit.bucket.read(nowMs) >= limit.threshold;
  }

  /**
   * Returns the time after which a request that found no upstream may come again,
   * in milliseconds. Requests that are refused one after the other come again one
   * after the other.
   *
   * @param upstreams Limited upstreams, of which any would do.
   * @param hosts Number of hosts that share them.
   */
  planReturnMs(
    upstreams: readonly string[],
    hosts: number,
    nowMs: number,
  ): number {
    const limits = upstreams.flatMap(id => this.byUpstream.get(id) ?? []);
    const rate = limits.reduce((sum, {perSecond}) => sum + perSecond, 0);
    if (rate <= 0) return 0;
    const firstMs = Math.min(
      ...limits.map(({bucket, threshold}) =>
        bucket.getWaitMs(threshold, nowMs),
      ),
    );
    const stepMs = (hosts / rate) * MS_PER_SECOND;
    return this.returns.plan(firstMs, stepMs, nowMs);
  }

  /** Copies the state, so that plans can be made that leave this one as it is. */
  copy(draw: () => number): UpstreamLimits {
    const copy = new UpstreamLimits(draw);
    for (const [id, limit] of this.byUpstream) {
      copy.byUpstream.set(id, {...limit, bucket: limit.bucket.copy()});
    }
    for (const [id, atMs] of this.toldAtMs) copy.toldAtMs.set(id, atMs);
    copy.returns = this.returns.copy();
    return copy;
  }

  /** Drops the limits of upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const id of [...this.toldAtMs.keys()]) {
      if (upstreams.has(id)) continue;
      this.toldAtMs.delete(id);
      this.byUpstream.delete(id);
    }
  }

  private drawThreshold(): number {
    return 1 + SPREAD_TOKENS * this.draw();
  }
}

/** Returns the requests that an upstream takes at once after a time without any. */
function toBurst(perSecond: number): number {
  return Math.max(MIN_BURST, (BURST_MS / MS_PER_SECOND) * perSecond);
}
