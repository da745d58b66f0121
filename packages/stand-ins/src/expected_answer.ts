import {Answer} from './answer.js';
import {DEFAULT_ANSWER_TOKENS} from './default_answer_tokens.js';

/**
 * The whole answer that every engine gives to a prompt.
 *
 * @param prompt The prompt as `readPrompt` reads it from the request.
 * @param maxTokens The request's bound on tokens, where it states one.
 */
export function expectedAnswer(prompt: string, maxTokens?: number): string {
  return new Answer(prompt).text(maxTokens ?? DEFAULT_ANSWER_TOKENS);
}
