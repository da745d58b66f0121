import type {JoinedCrash} from './joined_crash.js';

/**
 * Counts the requests with a part of a prompt that ran in crashes, told apart by their
 * widest scope.
 */
export function countRequests(
  part: string,
  crashes: ReadonlySet<JoinedCrash>,
): number {
  const requests = [...crashes]
    .flatMap(({reports}) => reports)
    .filter(({parts}) => parts.includes(part))
    .map(({scopes, request}) => scopes[0] ?? request);
  return new Set(requests).size;
}
