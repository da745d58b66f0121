import type {SpreadEngine} from './spread_engine.js';
import type {SpreadEventKind} from './spread_event_kind.js';

/** Input event of a spread scheduler. */
export type SpreadEvent =
  | {
      readonly kind: SpreadEventKind.NEEDED;
      readonly id: string;
      readonly model: string;
      /** Prompt tokens plus maximum answer tokens. */
      readonly tokens: number;
      /**
       * Latest monotonic time at which the run can start to end within its time
       * limit.
       */
      readonly latestStartMs: number;
    }
  | {
      /**
       * All engines that accept new requests; others are leaving or removed.
       */
      readonly kind: SpreadEventKind.ENGINES;
      readonly engines: readonly SpreadEngine[];
    }
  | {
      readonly kind: SpreadEventKind.RESERVED;
      readonly reservation: string;
      readonly engine: string;
      /** Copied from the `RESERVE` action that the engine answered. */
      readonly requestedAtMs: number;
    }
  | {
      readonly kind: SpreadEventKind.REFUSED;
      readonly reservation: string;
      readonly engine: string;
    }
  | {
      readonly kind: SpreadEventKind.EXPIRED;
      readonly reservation: string;
      readonly engine: string;
    }
  | {readonly kind: SpreadEventKind.LOST; readonly engine: string}
  | {readonly kind: SpreadEventKind.ENDED; readonly id: string}
  | {readonly kind: SpreadEventKind.WAKE};
