import type {Clock} from './clock.js';

const FIRST_AVOID_MS = 200;
const MAX_AVOID_MS = 5_000;

/** Faults of one upstream in a row. */
interface Faults {
  inRow: number;
  avoidedUntilMs: number;
}

/** Keeps new work away from upstreams whose calls fail. */
export class UpstreamHealth {
  private readonly faults = new Map<string, Faults>();

  constructor(private readonly clock: Clock) {}

  /** Whether the upstream gets no new work now. */
  isAvoided(upstream: string): boolean {
    return this.avoidedUntilMs(upstream) > this.clock.nowMs();
  }

  /** Monotonic time until which the upstream gets no new work. */
  avoidedUntilMs(upstream: string): number {
    return this.faults.get(upstream)?.avoidedUntilMs ?? -Infinity;
  }

  recordSuccess(upstream: string): void {
    this.faults.delete(upstream);
  }

  /** @return Monotonic time until which the upstream gets no new work. */
  recordFault(upstream: string): number {
    const inRow = (this.faults.get(upstream)?.inRow ?? 0) + 1;
    const avoidMs = Math.min(FIRST_AVOID_MS * 2 ** (inRow - 1), MAX_AVOID_MS);
    const avoidedUntilMs = this.clock.nowMs() + avoidMs;
    this.faults.set(upstream, {inRow, avoidedUntilMs});
    return avoidedUntilMs;
  }
}
