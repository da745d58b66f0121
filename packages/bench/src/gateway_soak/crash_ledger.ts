/** Notes when requests that crash upstreams reached one, and crashed one. */
export class CrashLedger {
  private readonly reachedMs = new Map<string, number[]>();
  private readonly crashedMs = new Map<string, number[]>();

  /** Bodies of all requests that have crashed an upstream. */
  get bodies(): string[] {
    return [...this.crashedMs.keys()];
  }

  /** Number of crashes by all requests. */
  get count(): number {
    return [...this.crashedMs.values()].reduce(
      (sum, {length}) => sum + length,
      0,
    );
  }

  noteReached(body: string, atMs: number): void {
    append(this.reachedMs, body, atMs);
  }

  noteCrash(body: string, atMs: number): void {
    append(this.crashedMs, body, atMs);
  }

  /** Counts the arrivals of a request later than a while after its nth crash. */
  countReachedAfter(body: string, crashes: number, whileMs: number): number {
    const fromMs = this.crashedMs.get(body)?.[crashes - 1];
    if (fromMs === undefined) return 0;
    const reached = this.reachedMs.get(body) ?? [];
    return reached.filter(atMs => atMs > fromMs + whileMs).length;
  }
}

function append(map: Map<string, number[]>, key: string, value: number): void {
  map.set(key, [...(map.get(key) ?? []), value]);
}
