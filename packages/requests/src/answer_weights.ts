const HALF_LIFE_MS = 5_000;
const MAX_PARTS = 4_096;

interface AnswerWeight {
  weight: number;
  atMs: number;
  lastStartMs: number;
}

/** Tracks how often the parts of prompts were in complete answers lately. */
export class AnswerWeights {
  /** The part that was answered longest ago comes first. */
  private readonly byPart = new Map<string, AnswerWeight>();

  /** @param startMs Time at which the attempt was started that was answered. */
  record(part: string, startMs: number, weight: number, nowMs: number): void {
    const lastStartMs = Math.max(this.getLastStartMs(part), startMs);
    const total = this.getWeight(part, nowMs) + weight;
    this.byPart.delete(part);
    this.byPart.set(part, {weight: total, atMs: nowMs, lastStartMs});
    if (this.byPart.size <= MAX_PARTS) return;
    for (const oldest of this.byPart.keys()) {
      this.byPart.delete(oldest);
      break;
    }
  }

  /** Returns the number of answers, of which each halves in five seconds. */
  getWeight(part: string, nowMs: number): number {
    const known = this.byPart.get(part);
    if (known === undefined) return 0;
    return known.weight * 2 ** ((known.atMs - nowMs) / HALF_LIFE_MS);
  }

  /** Returns the latest start of an answered attempt; -Infinity if none is known. */
  getLastStartMs(part: string): number {
    return this.byPart.get(part)?.lastStartMs ?? -Infinity;
  }
}
