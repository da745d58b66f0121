import type {HeldEvacuation} from './held_evacuation.js';
import type {SiteChange} from './site_change.js';

/** A change of the published state, with the position that it starts from. */
export interface SiteDelta extends SiteChange {
  /** The change contains all that was published after this revision of its epoch. */
  readonly fromRevision: number;
  /**
   * Whether removed upstreams may have expired while the store was unavailable.
   */
  readonly mayHaveExpired: boolean;
  /**
   * Whether the change is the difference of two lists. It leads on from exactly
   * `fromRevision`: what was added after it and removed before `revision` is in
   * neither list.
   */
  readonly isDifference?: boolean;
  /**
   * Time since the store confirmed the evacuations in it, in milliseconds, at most;
   * absent if it is not known.
   */
  readonly evacuationAgeMs?: number;
  /** Evacuations in force that a copy of the store lacks. */
  readonly heldEvacuations?: readonly HeldEvacuation[];
}
