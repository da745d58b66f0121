import {createHash} from 'node:crypto';
import type {ChatRequest} from '@parsleywood/schema/chat_request';

const PART_DIGITS = 16;
/** Messages after the first ones are not told apart. */
const MAX_PARTS = 32;

/**
 * Returns hashes of the messages that other prompts may share: all but the last
 * one, which is the request's own.
 */
export function hashPromptParts({messages}: ChatRequest): string[] {
  return messages
    .slice(0, -1)
    .slice(0, MAX_PARTS)
    .map(message => {
      const text = JSON.stringify([message.role, message.content]);
      return createHash('sha256')
        .update(text)
        .digest('hex')
        .slice(0, PART_DIGITS);
    });
}
