import type {EngineEventKind} from './engine_event_kind.js';
import type {EngineSubmission} from './engine_submission.js';

/** Event of an engine. */
export type EngineEvent =
  | {
      readonly kind: EngineEventKind.SUBMIT;
      readonly submission: EngineSubmission;
    }
  | {readonly kind: EngineEventKind.CANCEL; readonly attempt: string}
  | {
      readonly kind: EngineEventKind.SET_PRIORITY;
      readonly attempt: string;
      readonly priority: number;
    }
  | {readonly kind: EngineEventKind.WAKE};
