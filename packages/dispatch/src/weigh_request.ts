/** Weight of an answer token, in prompt tokens. */
const ANSWER_TOKEN_WEIGHT = 10;

/**
 * Weight of a request relative to others, in prompt tokens; grows with its size. One
 * whose size is not known counts as a single token.
 */
export function weighRequest(
  promptTokens: number,
  answerTokens: number,
): number {
  return Math.max(1, promptTokens + ANSWER_TOKEN_WEIGHT * answerTokens);
}
