import type {JoinedCrash} from './joined_crash.js';
import {listTraits} from './list_traits.js';

/** Counts the different requests with all traits of a group that ran in crashes. */
export function countRequests(
  group: readonly string[],
  crashes: readonly JoinedCrash[],
): number {
  const requests = crashes
    .flatMap(({reports}) => reports)
    .filter(report => {
      const traits = new Set(listTraits(report));
      return group.every(trait => traits.has(trait));
    })
    .map(({request}) => request);
  return new Set(requests).size;
}
