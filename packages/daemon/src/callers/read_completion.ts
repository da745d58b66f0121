import type {Failure} from '@parsleywood/errors';
import type {ChatRequest} from '@parsleywood/schema/chat_request';
import type {CompletionRequest as TextRequest} from '@parsleywood/schema/completion_request';
import type {Result} from 'true-myth';
import {BodyCheck} from './body_check.js';
import {ChatShape} from './chat_shape.js';
import type {CompletionRequest} from './completion_request.js';
import {CompletionPath} from './completion_path.js';
import {TextShape} from './text_shape.js';

const DEFAULT_MAX_TOKENS = 32;
const MS_PER_SECOND = 1_000;

const chatCheck = BodyCheck.ofChat<ChatRequest>();
const textCheck = BodyCheck.ofCompletion<TextRequest>();

/** Reads the body of a completion request of either shape. */
export function readCompletion(
  path: CompletionPath,
  body: Buffer,
  id: string,
  account: string,
  wallMs: number,
): Result<CompletionRequest, Failure> {
  const created = Math.floor(wallMs / MS_PER_SECOND);
  if (path === CompletionPath.CHAT) {
    return chatCheck.parse(body).map(chat => ({
      ...describe(chat),
      ...{id, account, path, body},
      promptBytes: countChatBytes(chat),
      maxTokens:
        chat.max_completion_tokens ?? chat.max_tokens ?? DEFAULT_MAX_TOKENS,
      shape: new ChatShape(id, chat.model, created),
    }));
  }
  return textCheck.parse(body).map(text => ({
    ...describe(text),
    ...{id, account, path, body},
    promptBytes: countTextBytes(text),
    maxTokens: text.max_tokens ?? DEFAULT_MAX_TOKENS,
    shape: new TextShape(id, text.model, created),
  }));
}

function describe(
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
