import {expectedAnswer, readPrompt} from '@parsleywood/stand-ins';

/** The answer that a question has to get from every engine. */
export function expectedChatAnswer(
  question: string,
  maxTokens: number,
): string {
  const messages = [{role: 'user', content: question}];
  return expectedAnswer(readPrompt({messages}), maxTokens);
}
