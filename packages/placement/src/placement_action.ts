import type {EngineCommand} from './engine_command.js';
import type {PlacementActionKind} from './placement_action_kind.js';

/** Call to an engine that the adapter has to make. */
export type PlacementAction =
  | {readonly kind: PlacementActionKind.READ; readonly engine: string}
  | {
      readonly kind: PlacementActionKind.SEND_COMMAND;
      readonly engine: string;
      readonly order: EngineCommand;
      /** Monotonic time, in milliseconds, after which it must not be sent. */
      readonly validUntilMs: number;
    };
