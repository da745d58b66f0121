import type {ChoiceKind} from './choice_kind.js';
import type {ChoiceReason} from './choice_reason.js';

/** Result of routing one attempt. */
export type Choice =
  | {
      readonly kind: ChoiceKind.UPSTREAM;
      readonly upstream: string;
      readonly reason: ChoiceReason;
      /** Priority to send to the engine, 0 to 9; 0 is served first. */
      readonly priority: number;
      /** Prefill chunk size that the engine should use, in prompt tokens. */
      readonly chunkTokens: number;
      /** Prompt tokens that are expected to be in the cache of the engine. */
      readonly cachedTokens: number;
      /**
       * Monotonic time of the next change of the priority; Infinity when it
       * stays constant.
       */
      readonly priorityChangesAtMs: number;
    }
  | {
      readonly kind: ChoiceKind.SPREAD;
      readonly reason: ChoiceReason;
      readonly priority: number;
    }
  | {readonly kind: ChoiceKind.NONE; readonly reason: ChoiceReason};
