import type {Dispatcher} from 'undici';
import {readLimitedBody} from './read_limited_body.js';

/** Size limit of a report or refusal of an engine. */
const MAX_BYTES = 1_048_576;

/**
 * Reads a response of an engine as JSON.
 *
 * @throws Error if the body is too long or is not JSON.
 */
export async function readLimitedJson(
  body: Dispatcher.ResponseData['body'],
): Promise<unknown> {
  return JSON.parse((await readLimitedBody(body, MAX_BYTES)).toString());
}
