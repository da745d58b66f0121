import type {ErrorKind} from '@parsleywood/errors';

import type {SpreadActionKind} from './spread_action_kind.js';

/** Output of a spread scheduler, for the caller to carry out. */
export type SpreadAction =
  | {
      readonly kind: SpreadActionKind.RESERVE;
      readonly id: string;
      readonly reservation: string;
      readonly engine: string;
      readonly tokens: number;
      /**
       * Lease duration: the engine frees the memory after this time unless the
       * lease is renewed.
       */
      readonly leaseMs: number;
      /**
       * Monotonic time of the request; the caller copies it to the `RESERVED`
       * event of the answer.
       */
      readonly requestedAtMs: number;
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
