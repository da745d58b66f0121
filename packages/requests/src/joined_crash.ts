import type {TraitCrash} from './trait_crash.js';

/** One crash of an upstream, from the reports of all hosts. */
export interface JoinedCrash {
  readonly reports: TraitCrash[];
  readonly atMs: number;
}
