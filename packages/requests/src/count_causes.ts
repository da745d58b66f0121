import type {JoinedCrash} from './joined_crash.js';

/**
 * Counts the fewest requests that explain crashes if each crash was caused by one
 * request, and some came again. Requests are told apart by their first scope.
 *
 * @param limit Number at which the count ends.
 */
export function countCauses(
  crashes: readonly JoinedCrash[],
  limit: number,
): number {
  const suspects = crashes
    .map(listRequests)
    .filter(requests => requests.size > 0);
  for (let count = 0; count < limit; count++) {
    if (canExplain(suspects, count)) return count;
  }
  return limit;
}

/** Whether so many requests explain crashes under each of these sets of requests. */
function canExplain(
  suspects: readonly ReadonlySet<string>[],
  count: number,
): boolean {
  const [first] = suspects;
  if (first === undefined) return true;
  if (count === 0) return false;
  return [...first].some(name =>
    canExplain(
      suspects.filter(requests => !requests.has(name)),
      count - 1,
    ),
  );
}

function listRequests({reports}: JoinedCrash): ReadonlySet<string> {
  return new Set(reports.map(({scopes, request}) => scopes[0] ?? request));
}
