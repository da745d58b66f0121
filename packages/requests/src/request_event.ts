import type {Failure} from '@parsleywood/errors';
import type {AttemptFault} from './attempt_fault.js';
import type {Finish} from './finish_reason.js';
import type {LifeEventKind} from './request_event_kind.js';
import type {Usage} from './usage.js';

/**
 * Input to the lifecycle of one request. Positions count output tokens from 0.
 */
export type LifeEvent =
  | {readonly kind: LifeEventKind.ADMITTED}
  | {readonly kind: LifeEventKind.REFUSED; readonly failure: Failure}
  | {readonly kind: LifeEventKind.CHOSEN; readonly upstream: string}
  | {readonly kind: LifeEventKind.NONE_CHOSEN; readonly failure: Failure}
  | {readonly kind: LifeEventKind.ALIVE; readonly attempt: string}
  | {
      readonly kind: LifeEventKind.TEXT;
      readonly attempt: string;
      readonly position: number;
      readonly text: string;
    }
  | {
      readonly kind: LifeEventKind.END;
      readonly attempt: string;
      readonly position: number;
      readonly finish: Finish;
      readonly usage: Usage;
    }
  | {
      readonly kind: LifeEventKind.ATTEMPT_FAILED;
      readonly attempt: string;
      readonly fault: AttemptFault;
      readonly detail: string;
    }
  | {readonly kind: LifeEventKind.CALLER_GONE}
  | {readonly kind: LifeEventKind.WAKE};
