/** Engines that one decision weighs, kept to spare allocations. */
export class Shortlist {
  /** Positions of the engines. */
  readonly positions: Int32Array;
  /** Score of each; Infinity for one not to use. */
  readonly scores: Float64Array;
  count = 0;
  /** Least of the scores. */
  lowestScore = Infinity;

  /** @param capacity Most engines that one decision weighs. */
  constructor(capacity: number) {
    this.positions = new Int32Array(capacity);
    this.scores = new Float64Array(capacity);
  }
}
