import type {Dispatcher} from 'undici';
import {readLimitedBody} from './read_limited_body.js';

/** Size limit of a body that means nothing, in bytes. */
const MAX_BYTES = 65_536;

/**
 * Reads the status of a response of which nothing else counts.
 *
 * @throws Error if the body breaks off or is too long: `dump()` would not tell.
 */
export async function readStatus({
  statusCode,
  body,
}: Dispatcher.ResponseData): Promise<number> {
  await readLimitedBody(body, MAX_BYTES);
  return statusCode;
}
