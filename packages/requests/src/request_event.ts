import type {Failure} from '@parsleywood/errors';
import type {AttemptFault} from './attempt_fault.js';
import type {FinishReason} from './finish_reason.js';
import type {RequestEventKind} from './request_event_kind.js';
import type {Usage} from './usage.js';

/**
 * Input to the lifecycle of one request. Positions count output tokens from 0.
 */
export type RequestEvent =
  | {readonly kind: RequestEventKind.ADMITTED}
  | {readonly kind: RequestEventKind.REFUSED; readonly failure: Failure}
  | {readonly kind: RequestEventKind.UPSTREAM_CHOSEN; readonly upstream: string}
  | {readonly kind: RequestEventKind.NO_UPSTREAM; readonly failure: Failure}
  | {readonly kind: RequestEventKind.PROGRESS; readonly attempt: string}
  | {
      readonly kind: RequestEventKind.TEXT;
      readonly attempt: string;
      readonly position: number;
      readonly text: string;
    }
  | {
      readonly kind: RequestEventKind.END;
      readonly attempt: string;
      readonly position: number;
      readonly finish: FinishReason;
      readonly usage: Usage;
    }
  | {
      readonly kind: RequestEventKind.ATTEMPT_FAILED;
      readonly attempt: string;
      readonly fault: AttemptFault;
      readonly detail: string;
    }
  | {readonly kind: RequestEventKind.CALLER_GONE}
  | {readonly kind: RequestEventKind.WAKE};
