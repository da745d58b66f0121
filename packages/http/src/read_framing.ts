import type {IncomingHttpHeaders} from 'node:http';
import {ResponseFraming} from './response_framing.js';

/** One coding; the parser finds it only where nothing but blanks follows. */
const CHUNKED_ONLY = /^[ ,]*chunked *$/i;
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Reads how the body of a final response is framed. The parser has refused lengths that
 * are no number or not unique, and a length beside a transfer coding.
 *
 * @param headers Names in lower case.
 */
export function readFraming(
  method: string,
  status: number,
  headers: IncomingHttpHeaders,
): ResponseFraming {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) {
    return ResponseFraming.NONE;
  }
  const coding = headers['transfer-encoding'];
  if (coding !== undefined) {
    // Other codings may come only where the request names them in `TE`.
    return CHUNKED_ONLY.test(String(coding))
      ? ResponseFraming.CHUNKS
      : ResponseFraming.FAULTY;
  }
  return headers['content-length'] === undefined
    ? ResponseFraming.CONNECTION
    : ResponseFraming.LENGTH;
}
