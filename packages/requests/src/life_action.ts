import type {Failure} from '@parsleywood/errors';
import type {AttemptFault} from './attempt_fault.js';
import type {Finish} from './finish.js';
import type {LifeActionKind} from './life_action_kind.js';
import type {Usage} from './usage.js';

/** Action of one request's life. */
export type LifeAction =
  | {
      readonly kind: LifeActionKind.CHOOSE;
      /** Upstreams that already failed this request. */
      readonly excluded: readonly string[];
    }
  | {
      readonly kind: LifeActionKind.START_ATTEMPT;
      readonly attempt: string;
      readonly upstream: string;
      /** Output position from which the upstream continues. */
      readonly resumeFrom: number;
      /** Time left for the attempt, in milliseconds. */
      readonly limitMs: number;
    }
  | {
      readonly kind: LifeActionKind.CANCEL_ATTEMPT;
      readonly attempt: string;
      readonly upstream: string;
      /** Absent when the request itself is over. */
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
