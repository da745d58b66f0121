import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import type {CrashBlock} from '@parsleywood/requests';

/**
 * Creates the failure for a request that is refused because of crashes of upstreams:
 * for good, or for the time after which it is tried again.
 *
 * @param parts Parts of its prompt.
 */
export function createCrashFailure(
  block: CrashBlock,
  parts: readonly string[] = [],
): Failure {
  const blamed = parts.filter(part => block.traits.includes(part));
  const subject = describeSubject(block, blamed);
  if (block.isFinal) {
    const message = `${subject} crashed several upstreams and will not be run again`;
    return new Failure(ErrorKind.REQUEST_CRASHES_UPSTREAM, message);
  }
  const message = `${subject} may have crashed several upstreams and will be tried again`;
  return new Failure(
    ErrorKind.OVERLOADED,
    message,
    ExecutionStatus.NO,
    block.remainingMs,
  );
}

function describeSubject(
  {traits}: CrashBlock,
  parts: readonly string[],
): string {
  if (traits.length === 0) return 'this request';
  if (parts.length === 0) return 'requests that have details of this one';
  if (parts.length === 1) return `prompts with part ${parts[0]}`;
  return `prompts with all of the parts ${parts.join(', ')}`;
}
