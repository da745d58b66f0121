import type {EngineState} from './engine_state.js';
import type {PlacementEventKind} from './placement_event_kind.js';
import type {PlacementPlan} from './placement_plan.js';

/** Plan, membership view or call result that the adapter delivers. */
export type PlacementEvent =
  | {readonly kind: PlacementEventKind.PLAN; readonly plan: PlacementPlan}
  | {
      readonly kind: PlacementEventKind.MEMBERS;
      /** Hosts considered alive; this host may be missing. */
      readonly alive: readonly string[];
      /** Number of hosts in the published list, alive or not. */
      readonly listed: number;
    }
  | {readonly kind: PlacementEventKind.FENCING_SEEN; readonly fencing: number}
  | {
      /** Result of a READ action. */
      readonly kind: PlacementEventKind.READ_BACK;
      readonly engine: string;
      readonly content: EngineState;
    }
  | {
      /** Ends a READ or SEND_COMMAND action; only the next read shows the state. */
      readonly kind:
        | PlacementEventKind.READ_FAILED
        | PlacementEventKind.COMMAND_ENDED
        | PlacementEventKind.COMMAND_FAILED;
      readonly engine: string;
    }
  | {
      /** Ends a SEND_COMMAND action whose fencing token is outdated. */
      readonly kind: PlacementEventKind.COMMAND_REFUSED;
      readonly engine: string;
      /** Highest fencing token that the engine has received. */
      readonly fencing: number;
    }
  | {
      readonly kind: PlacementEventKind.DISABLED | PlacementEventKind.WAKE;
    };
