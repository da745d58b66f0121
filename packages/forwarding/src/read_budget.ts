/** Pieces that a host reads in a millisecond, of all its connections together. */
const PIECES_PER_MS = 64;

/**
 * Shares a host's time for reading among its connections, as a piece costs about the
 * same whatever its length. Load pattern: some connections that bring pieces of a few
 * bytes as fast as they are read, beside others that bring less than they may.
 */
export class ReadBudget {
  private spentUntilMs = 0;

  /** @return Time for which the connection that brought the pieces is not read. */
  spend(pieces: number, nowMs: number): number {
    const fromMs = Math.max(this.spentUntilMs, nowMs);
    this.spentUntilMs = fromMs + pieces / PIECES_PER_MS;
    return this.spentUntilMs - nowMs;
  }
}
