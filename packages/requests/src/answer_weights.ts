const HALF_LIFE_MS = 5_000;
const MAX_TRAITS = 32_768;

interface AnswerWeight {
  weight: number;
  atMs: number;
  lastStartMs: number;
}

/** Tracks how often the traits of requests were in complete answers lately. */
export class AnswerWeights {
  /** The trait that was answered longest ago comes first. */
  private readonly byTrait = new Map<string, AnswerWeight>();

  /** @param startMs Time at which the attempt was started that was answered. */
  record(trait: string, startMs: number, weight: number, nowMs: number): void {
    const lastStartMs = Math.max(this.getLastStartMs(trait), startMs);
    const total = this.getWeight(trait, nowMs) + weight;
    this.byTrait.delete(trait);
    this.byTrait.set(trait, {weight: total, atMs: nowMs, lastStartMs});
    if (this.byTrait.size <= MAX_TRAITS) return;
    for (const oldest of this.byTrait.keys()) {
      this.byTrait.delete(oldest);
      break;
    }
  }

  /** Returns the number of answers, of which each halves in five seconds. */
  getWeight(trait: string, nowMs: number): number {
    const known = this.byTrait.get(trait);
    if (known === undefined) return 0;
    return known.weight * 2 ** ((known.atMs - nowMs) / HALF_LIFE_MS);
  }

  /** Returns the latest start of an answered attempt; -Infinity if none is known. */
  getLastStartMs(trait: string): number {
    return this.byTrait.get(trait)?.lastStartMs ?? -Infinity;
  }
}
