/** Number of last requests of a route that are kept. */
const MAX_SAMPLES = 32;
/** Number below which they tell too little about the next request. */
const MIN_SAMPLES = 8;

/** Durations of the last requests of each route. */
export class DurationHistory {
  private readonly samples = new Map<string, number[]>();

  record(route: string, durationMs: number): void {
    const samples = this.samples.get(route) ?? [];
    if (samples.length >= MAX_SAMPLES) samples.shift();
    samples.push(durationMs);
    this.samples.set(route, samples);
  }

  /** Longest duration in milliseconds; infinite while few requests have ended. */
  getLongestMs(route: string): number {
    const samples = this.samples.get(route) ?? [];
    return samples.length < MIN_SAMPLES ? Infinity : Math.max(...samples);
  }

  /** Forgets all routes but these. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.samples.keys()) {
      if (!routes.has(route)) this.samples.delete(route);
    }
  }
}
