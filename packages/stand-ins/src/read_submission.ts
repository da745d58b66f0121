import type {IncomingHttpHeaders} from 'node:http';
import {BYTES_PER_TOKEN} from './bytes_per_token.js';
import {DEFAULT_ANSWER_TOKENS} from './default_answer_tokens.js';
import {EngineFinish} from './engine_finish.js';
import type {EngineSubmission} from './engine_submission.js';
import {hashBlocks} from './hash_blocks.js';
import type {PromptRequest} from './prompt_request.js';

const DEFAULT_PRIORITY = 5;
const DEFAULT_LIMIT_MS = 600_000;

/** Reads an attempt from its headers and the caller's request. */
export function readSubmission(
  headers: IncomingHttpHeaders,
  request: PromptRequest,
  prompt: string,
  blockTokens: number,
): EngineSubmission {
  const maxTokens = request.max_completion_tokens ?? request.max_tokens;
  const reservation = headers['parsleywood-reservation'];
  return {
    attempt: String(headers['parsleywood-attempt'] ?? ''),
    owner: String(headers['parsleywood-owner'] ?? ''),
    model: request.model ?? '',
    priority: readNumber(headers, 'parsleywood-priority', DEFAULT_PRIORITY),
    promptTokens: Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN),
    blocks: hashBlocks(prompt, blockTokens),
    answerTokens: maxTokens ?? DEFAULT_ANSWER_TOKENS,
    finish: maxTokens ? EngineFinish.LENGTH : EngineFinish.STOP,
    resumeFrom: readNumber(headers, 'parsleywood-resume-from', 0),
    limitMs: readNumber(headers, 'parsleywood-limit-ms', DEFAULT_LIMIT_MS),
    ...(reservation ? {reservation: String(reservation)} : {}),
    remoteTokens: readNumber(headers, 'parsleywood-remote-tokens', 0),
  };
}

function readNumber(
  headers: IncomingHttpHeaders,
  name: string,
  absent: number,
): number {
  const text = headers[name];
  return text === undefined ? absent : Number(text);
}
