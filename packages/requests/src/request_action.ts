import type {Failure} from '@parsleywood/errors';
import type {AttemptFault} from './attempt_fault.js';
import type {FinishReason} from './finish_reason.js';
import type {RequestActionKind} from './request_action_kind.js';
import type {Usage} from './usage.js';

/** Action that the lifecycle of one request asks for. */
export type RequestAction =
  | {
      readonly kind: RequestActionKind.CHOOSE_UPSTREAM;
      /** Upstreams on which an attempt of this request has failed. */
      readonly excluded: readonly string[];
    }
  | {
      readonly kind: RequestActionKind.START_ATTEMPT;
      readonly attempt: string;
      readonly upstream: string;
      /** Output position at which the upstream resumes. */
      readonly resumeFrom: number;
      /** Time until the deadline of the request, in milliseconds. */
      readonly limitMs: number;
    }
  | {
      readonly kind: RequestActionKind.CANCEL_ATTEMPT;
      readonly attempt: string;
      readonly upstream: string;
      /** Absent when the request itself has ended. */
      readonly fault?: AttemptFault;
    }
  | {
      readonly kind: RequestActionKind.EMIT;
      readonly text: string;
      readonly position: number;
    }
  | {
      readonly kind: RequestActionKind.FINISH;
      readonly attempt: string;
      readonly finish: FinishReason;
      readonly usage: Usage;
    }
  | {readonly kind: RequestActionKind.FAIL; readonly failure: Failure};
