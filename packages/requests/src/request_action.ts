import type {Failure} from '@parsleywood/errors';
import type {AttemptFault} from './attempt_fault.js';
import type {Finish} from './finish_reason.js';
import type {LifeActionKind} from './request_action_kind.js';
import type {Usage} from './usage.js';

/** Action that the lifecycle of one request asks for. */
export type LifeAction =
  | {
      readonly kind: LifeActionKind.CHOOSE;
      /** Upstreams on which an attempt of this request has failed. */
      readonly excluded: readonly string[];
    }
  | {
      readonly kind: LifeActionKind.START_ATTEMPT;
      readonly attempt: string;
      readonly upstream: string;
      /** Output position at which the upstream resumes. */
      readonly resumeFrom: number;
      /** Time until the deadline of the request, in milliseconds. */
      readonly limitMs: number;
    }
  | {
      readonly kind: LifeActionKind.CANCEL_ATTEMPT;
      readonly attempt: string;
      readonly upstream: string;
      /** Absent when the request itself has ended. */
      readonly fault?: AttemptFault;
    }
  | {
      readonly kind: LifeActionKind.EMIT;
      readonly text: string;
      readonly position: number;
    }
  | {
      readonly kind: LifeActionKind.FINISH;
      readonly attempt: string;
      readonly finish: Finish;
      readonly usage: Usage;
    }
  | {readonly kind: LifeActionKind.FAIL; readonly failure: Failure};
