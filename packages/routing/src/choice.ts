import type {ChoiceKind} from './choice_kind.js';
import type {ChoiceReason} from './choice_reason.js';

/** The router's answer for one request. */
export type Choice =
  | {
      readonly kind: ChoiceKind.UPSTREAM;
      readonly upstream: string;
      readonly reason: ChoiceReason;
      /** Priority to send to the engine, 0 to 9; 0 is served first. */
      readonly priority: number;
      /** Prompt tokens that the engine should prefill at a time. */
      readonly chunkTokens: number;
      /** Prompt tokens expected in the engine's cache. */
      readonly cachedTokens: number;
      /** Monotonic time at which to ask for the priority again; Infinity when it stays. */
      readonly priorityChangesAtMs: number;
    }
  | {
      readonly kind: ChoiceKind.SPREAD;
      readonly reason: ChoiceReason;
      readonly priority: number;
    }
  | {readonly kind: ChoiceKind.NONE; readonly reason: ChoiceReason};
