import type {EngineOrder} from './engine_command.js';
import type {PlacementActionKind} from './placement_action_kind.js';

/** Call to an engine that the adapter has to make. */
export type PlacementAction =
  | {readonly kind: PlacementActionKind.READ; readonly engine: string}
  | {
      readonly kind: PlacementActionKind.ORDER;
      readonly engine: string;
      readonly order: EngineOrder;
      /** Monotonic time, in milliseconds, after which it must not be sent. */
      readonly validUntilMs: number;
    };
