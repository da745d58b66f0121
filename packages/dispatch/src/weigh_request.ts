/** What a token of the answer counts, in tokens of the prompt. */
const ANSWER_TOKEN_WEIGHT = 10;

/** What a request is worth against others: its size in tokens. */
export function weighRequest(
  promptTokens: number,
  answerTokens: number,
): number {
  return promptTokens + ANSWER_TOKEN_WEIGHT * answerTokens;
}
