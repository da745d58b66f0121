import type {JoinedCrash} from './joined_crash.js';
import {listTraits} from './list_traits.js';

/**
 * Counts the different requests with all traits of a group that ran in crashes.
 *
 * @param areParts Whether the traits are parts of prompts; requests are told apart by
 *     their first scope then, so that one with other queries counts once.
 */
export function countRequests(
  group: readonly string[],
  areParts: boolean,
  crashes: readonly JoinedCrash[],
): number {
  const requests = crashes
    .flatMap(({reports}) => reports)
    .filter(report => {
      const traits = listTraits(report);
      return group.every(trait => traits.includes(trait));
    })
    .map(({scopes, request}) => (areParts ? scopes[0] : undefined) ?? request);
  return new Set(requests).size;
}
