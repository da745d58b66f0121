/**
 * How long it is remembered that an upstream left. Copies from which the store
 * comes back are some seconds old.
 */
const MEMORY_MS = 60_000;
/**
 * How long the entry of an upstream that left is not used after the store came back
 * from a copy. Upstreams that drain say so again within about 2 s, and entries of
 * those that left expire after three missed heartbeats.
 */
const HOLD_MS = 10_000;
const MAX_RECORDS = 4_096;

interface Departure {
  readonly atMs: number;
  /** Time until which the upstream may be in use, as it may still be there. */
  readonly graceUntilMs: number;
  /** Time until which the entry is not used; -Infinity before the store came back. */
  readonly heldUntilMs: number;
}

/** Upstreams that were seen to drain or leave, in case the store lists them again. */
export class Departures {
  /** The upstream that left first comes first. */
  private readonly byId = new Map<string, Departure>();

  /** @param graceMs Time for which the upstream is still used. */
  record(id: string, nowMs: number, graceMs = 0): void {
    this.byId.delete(id);
    this.byId.set(id, {
      atMs: nowMs,
      graceUntilMs: nowMs + graceMs,
      heldUntilMs: -Infinity,
    });
    for (const [oldest, {atMs}] of this.byId) {
      if (nowMs - atMs < MEMORY_MS && this.byId.size <= MAX_RECORDS) break;
      this.byId.delete(oldest);
    }
  }

  forget(id: string): void {
    this.byId.delete(id);
  }

  /** Forgets an upstream that a list has again, unless the list may be that of a copy. */
  forgetUnlessHeld(id: string): void {
    if (this.byId.get(id)?.heldUntilMs === -Infinity) this.byId.delete(id);
  }

  /** Holds all upstreams that left lately, as the store came back from a copy. */
  hold(nowMs: number): void {
    for (const [id, departure] of this.byId) {
      if (nowMs - departure.atMs >= MEMORY_MS) continue;
      this.byId.set(id, {...departure, heldUntilMs: nowMs + HOLD_MS});
    }
  }

  /** Whether an entry of the upstream is not to be used. */
  isHeld(id: string, nowMs: number): boolean {
    const departure = this.byId.get(id);
    if (departure === undefined) return false;
    const {graceUntilMs, heldUntilMs} = departure;
    return nowMs >= graceUntilMs && nowMs < heldUntilMs;
  }
}
