import type {SpreadEngine} from './spread_engine.js';
import type {SpreadEventKind} from './spread_event_kind.js';

/** Something that a spread plan is told. */
export type SpreadEvent =
  | {
      readonly kind: SpreadEventKind.NEEDED;
      readonly id: string;
      readonly model: string;
      /** Prompt and answer tokens together. */
      readonly tokens: number;
      /** Monotonic time past which a start cannot end within the limit. */
      readonly latestStartMs: number;
    }
  | {
      /** The engines that take new work; those absent are leaving or gone. */
      readonly kind: SpreadEventKind.ENGINES;
      readonly engines: readonly SpreadEngine[];
    }
  | {
      readonly kind: SpreadEventKind.RESERVED;
      readonly reservation: string;
      readonly engine: string;
      /** As in the action that the engine answered. */
      readonly askedMs: number;
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
