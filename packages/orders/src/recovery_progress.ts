import type {Incarnation} from '@parsleywood/types';
import type {CrashVector} from './crash_vector.js';
import type {MemberState} from './member_state.js';
import type {Resignations} from './resignations.js';
import type {View} from './view.js';

/** What a host that wants to vote in a view has gathered. */
export interface RecoveryProgress {
  readonly self: Incarnation;
  readonly view: View;
  readonly complete: boolean;
  /** Newest view in which this incarnation was allowed to vote; 0 for none. */
  readonly activeView: number;
  /** Views entered, from the active one to the present one. */
  readonly history: readonly View[];
  readonly memoryFromMs: number;
  readonly resignations: Resignations;
  /** Whether the host has waited long for members that have their memory. */
  readonly waitExpired: boolean;
  readonly crashVector: CrashVector;
  /** Answers of the present round, by host. */
  readonly replies: ReadonlyMap<string, MemberState>;
}
