import type {UpstreamEntry} from '@parsleywood/forwarding';
import type {PaceReason} from './pace_reason.js';

/** What a new entry says of an upstream's start. */
export interface UpstreamStart {
  readonly entry: UpstreamEntry;
  /** Absent where only the end of a cold time has moved. */
  readonly reason?: PaceReason;
  /** When its cold time ends, in milliseconds; not later than now if it is not cold. */
  readonly coldUntilMs: number;
}
