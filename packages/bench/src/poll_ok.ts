import {pause} from '@parsleywood/stand-ins';
import {request} from 'undici';

const POLL_MS = 50;

/**
 * Waits until a URL answers 200.
 *
 * @param url What to ask.
 * @param untilMs Monotonic time at which to give up, in milliseconds.
 * @param check Throws when waiting is of no use.
 */
export async function pollOk(
  url: string,
  untilMs: number,
  check: () => void,
): Promise<void> {
  let last = '';
  while (performance.now() < untilMs) {
    check();
    try {
      const {statusCode, body} = await request(url);
      last = `${statusCode} ${await body.text()}`;
      if (statusCode === 200) return;
    } catch (error) {
      last = String(error);
    }
    await pause(POLL_MS);
  }
  throw new Error(`${url} did not answer 200 in time; last: ${last}`);
}
