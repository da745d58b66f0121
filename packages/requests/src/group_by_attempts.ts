import {areEqualSets} from './are_equal_sets.js';
import type {TraitCandidate} from './trait_candidate.js';
import type {TraitCrash} from './trait_crash.js';

/** Joins the traits that only occurred together, in the same attempts. */
export function groupByAttempts(
  candidates: readonly TraitCandidate[],
): string[][] {
  const groups: {attempts: ReadonlySet<TraitCrash>; traits: string[]}[] = [];
  for (const {name, attempts} of candidates) {
    const group = groups.find(one => areEqualSets(one.attempts, attempts));
    if (group === undefined) groups.push({attempts, traits: [name]});
    else group.traits.push(name);
  }
  return groups.map(({traits}) => traits.sort());
}
