/** Tokens of an answer whose request states no bound. */
export const DEFAULT_ANSWER_TOKENS = 32;
