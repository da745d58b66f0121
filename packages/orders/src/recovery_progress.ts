import type {Incarnation} from '@parsleywood/types';
import type {CrashVector} from './crash_vector.js';
import type {MemberState} from './member_state.js';
import type {Resignations} from './resignations.js';
import type {View} from './view.js';

/** What a host knows while it waits for permission to vote in a view. */
export interface RecoveryProgress {
  readonly self: Incarnation;
  readonly view: View;
  /** Whether this host has the claim records of its active view. */
  readonly complete: boolean;
  /** Newest view in which this incarnation was allowed to vote; 0 if none. */
  readonly activeView: number;
  /** Views entered, from the active one to the current one. */
  readonly history: readonly View[];
  readonly memoryFromMs: number;
  readonly resignations: Resignations;
  /** Whether the host has waited long enough for members with claim records. */
  readonly waitExpired: boolean;
  readonly crashVector: CrashVector;
  /** Replies to the current round of state queries, by host. */
  readonly replies: ReadonlyMap<string, MemberState>;
}
