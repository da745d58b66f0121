import type {ErrorKind} from '@parsleywood/errors';

import type {SpreadActionKind} from './spread_action_kind.js';

/** Something that a spread plan asks its adapter to do. */
export type SpreadAction =
  | {
      readonly kind: SpreadActionKind.RESERVE;
      readonly id: string;
      readonly reservation: string;
      readonly engine: string;
      readonly tokens: number;
      /** The engine frees the memory by itself after this time. */
      readonly leaseMs: number;
      /** Monotonic time of asking; the engine's answer is passed on with it. */
      readonly askedMs: number;
    }
  | {
      readonly kind: SpreadActionKind.RELEASE;
      readonly id: string;
      readonly reservation: string;
      readonly engine: string;
    }
  | {
      readonly kind: SpreadActionKind.START;
      readonly id: string;
      readonly reservation: string;
      readonly engines: readonly string[];
    }
  | {readonly kind: SpreadActionKind.STOP; readonly id: string}
  | {
      readonly kind: SpreadActionKind.REFUSE;
      readonly id: string;
      readonly error: ErrorKind;
      readonly retryAfterMs: number;
    };
