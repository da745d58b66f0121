/** Weight of an answer token, in prompt tokens. */
const ANSWER_TOKEN_WEIGHT = 10;

/** Weight of a request relative to others, in prompt tokens; grows with its size. */
export function weighRequest(
  promptTokens: number,
  answerTokens: number,
): number {
  return promptTokens + ANSWER_TOKEN_WEIGHT * answerTokens;
}
