import {ErrorKind, Failure} from '@parsleywood/errors';

/**
 * Creates the failure for a request that crashed several upstreams.
 *
 * @param parts Parts of its prompt that did, in any request; none if only the
 *     request as a whole did.
 */
export function createCrashFailure(parts: readonly string[] = []): Failure {
  const message =
    parts.length === 0
      ? 'this request crashed several upstreams and will not be run again'
      : `prompts with ${describeParts(parts)} crashed several upstreams and will not be run again`;
  return new Failure(ErrorKind.REQUEST_CRASHES_UPSTREAM, message);
}

function describeParts(parts: readonly string[]): string {
  if (parts.length === 1) return `part ${parts[0]}`;
  return `all of the parts ${parts.join(', ')}`;
}
