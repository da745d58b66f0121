import type {EngineActionKind} from './engine_action_kind.js';
import type {EngineFinish} from './engine_finish.js';
import type {EngineRefusal} from './engine_refusal.js';
import type {EngineUsage} from './engine_usage.js';

/** Action of an engine. */
export type EngineAction =
  | {
      readonly kind: EngineActionKind.REFUSE;
      readonly attempt: string;
      readonly refusal: EngineRefusal;
    }
  | {
      readonly kind: EngineActionKind.TOKEN;
      readonly attempt: string;
      /** Position of the token in the answer, from 0. */
      readonly position: number;
      /** Virtual time at which the token was computed, in milliseconds. */
      readonly atMs: number;
    }
  | {
      readonly kind: EngineActionKind.FINISH;
      readonly attempt: string;
      /** Tokens of the whole answer. */
      readonly position: number;
      readonly finish: EngineFinish;
      readonly usage: EngineUsage;
      /** Virtual time of the end, in milliseconds. */
      readonly atMs: number;
    }
  | {readonly kind: EngineActionKind.EXPIRE; readonly attempt: string};
