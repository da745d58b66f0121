/**
 * Scored engines of one choice; reused for all choices of a model to avoid
 * allocations.
 */
export class Shortlist {
  /** Positions of the engines in the rendezvous order. */
  readonly positions: Int32Array;
  /**
   * Score of each engine, lower is better; Infinity for an engine that must not
   * be used.
   */
  readonly scores: Float64Array;
  count = 0;
  /** Lowest of the scores. */
  lowestScore = Infinity;

  /** @param capacity Maximum number of engines. */
  constructor(capacity: number) {
    this.positions = new Int32Array(capacity);
    this.scores = new Float64Array(capacity);
  }
}
