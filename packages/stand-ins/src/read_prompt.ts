import type {PromptRequest} from './prompt_request.js';

/** Reads the prompt as the one text that the engine computes. */
export function readPrompt(request: PromptRequest): string {
  if (request.prompt !== undefined) {
    const {prompt} = request;
    return typeof prompt === 'string' ? prompt : prompt.join('');
  }
  const messages = request.messages ?? [];
  return messages
    .map(({role, content}) => `${role}: ${readContent(content)}\n`)
    .join('');
}

type Content = NonNullable<PromptRequest['messages']>[number]['content'];

function readContent(content: Content): string {
  if (typeof content === 'string') return content;
  return (content ?? []).map(part => part.text ?? '').join('');
}
