const ROUNDS = 12;

/**
 * The level to which the lowest scores rise when the tokens are spread over
 * them evenly.
 *
 * @param scores Wait in tokens by engine; Infinity for one not to use.
 * @param count Number of scores to read.
 * @param lowest The least of the scores.
 * @param tokens Tokens to spread.
 */
export function findLevel(
  scores: Float64Array,
  count: number,
  lowest: number,
  tokens: number,
): number {
  let low = lowest;
  let high = lowest + tokens;
  for (let round = 0; round < ROUNDS; round++) {
    const middle = (low + high) / 2;
    let filled = 0;
    for (let index = 0; index < count; index++) {
      const gap = middle - (scores[index] ?? Infinity);
      if (gap > 0) filled += gap;
    }
    if (filled < tokens) low = middle;
    else high = middle;
  }
  return high;
}
