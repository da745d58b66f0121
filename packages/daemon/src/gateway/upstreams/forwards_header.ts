import {listEndToEndHeaders} from './list_end_to_end_headers.js';

const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

/**
 * Whether a header of the caller is passed on to upstreams.
 *
 * @param rawHeaders Names and values alternating, as received.
 * @param wanted Name in lower case, of a header that this host does not set itself.
 */
export function forwardsHeader(
  rawHeaders: readonly string[],
  wanted: string,
): boolean {
  return listEndToEndHeaders(rawHeaders, NO_EXCLUSIONS).some(
    (name, at) => at % 2 === 0 && name.toLowerCase() === wanted,
  );
}
