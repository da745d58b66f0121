import type {JoinedCrash} from './joined_crash.js';
import type {TraitCrash} from './trait_crash.js';

/** A trait, or a request as a whole, and the crashes that it may explain. */
export interface TraitCandidate {
  readonly name: string;
  readonly isTrait: boolean;
  readonly isPart: boolean;
  readonly crashes: Set<JoinedCrash>;
  /** Attempts with the trait under which upstreams crashed. */
  readonly attempts: Set<TraitCrash>;
  readonly answers: number;
}
