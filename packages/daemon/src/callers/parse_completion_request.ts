import type {Failure} from '@parsleywood/errors';
import type {ChatRequest} from '@parsleywood/schema/chat_request';
import type {CompletionRequest as TextRequest} from '@parsleywood/schema/completion_request';
import {describeScopes} from '@parsleywood/requests';
import type {Result} from 'true-myth';
import {BodyValidator} from './body_validator.js';
import {ChatFormatter} from './chat_formatter.js';
import type {CompletionRequest} from './completion_request.js';
import {hashPromptParts} from './hash_prompt_parts.js';
import {CompletionPath} from './completion_path.js';
import {TextFormatter} from './text_formatter.js';

const DEFAULT_MAX_TOKENS = 32;
const MS_PER_SECOND = 1_000;

const chatValidator = BodyValidator.forChat<ChatRequest>();
const textValidator = BodyValidator.forCompletion<TextRequest>();

/**
 * Parses and validates the body of a completion request in the format of its
 * path.
 */
export function parseCompletionRequest(
  path: CompletionPath,
  body: Buffer,
  id: string,
  account: string,
  wallMs: number,
): Result<CompletionRequest, Failure> {
  const created = Math.floor(wallMs / MS_PER_SECOND);
  if (path === CompletionPath.CHAT) {
    return chatValidator.parse(body).map(chat => ({
      ...readCommonFields(chat),
      ...{id, account, path, body},
      promptBytes: countChatBytes(chat),
      scopes: describePromptScopes(path, chat.model, chat.messages),
      parts: hashPromptParts(chat),
      maxTokens:
        chat.max_completion_tokens ?? chat.max_tokens ?? DEFAULT_MAX_TOKENS,
      formatter: new ChatFormatter(id, chat.model, created),
    }));
  }
  return textValidator.parse(body).map(text => ({
    ...readCommonFields(text),
    ...{id, account, path, body},
    promptBytes: countTextBytes(text),
    scopes: describePromptScopes(path, text.model, text.prompt),
    parts: [],
    maxTokens: text.max_tokens ?? DEFAULT_MAX_TOKENS,
    formatter: new TextFormatter(id, text.model, created),
  }));
}

/** Callers may change the other fields when they send a prompt again. */
function describePromptScopes(
  path: CompletionPath,
  model: string,
  prompt: unknown,
): string[] {
  const body = JSON.stringify([model, prompt]);
  return describeScopes({
    method: 'POST',
    target: path,
    account: '',
    headers: [],
    prompt: '',
    body,
  });
}

function readCommonFields(
  request: ChatRequest | TextRequest,
): Pick<CompletionRequest, 'model' | 'stream' | 'includeUsage'> {
  return {
    model: request.model,
    stream: request.stream ?? false,
    includeUsage: request.stream_options?.include_usage ?? false,
  };
}

function countChatBytes(chat: ChatRequest): number {
  let bytes = 0;
  for (const {content} of chat.messages) {
    if (typeof content === 'string') {
      bytes += content.length;
    } else {
      for (const part of content ?? []) bytes += part.text?.length ?? 0;
    }
  }
  return bytes;
}

function countTextBytes(text: TextRequest): number {
  if (typeof text.prompt === 'string') return text.prompt.length;
  return text.prompt.reduce((sum, prompt) => sum + prompt.length, 0);
}
