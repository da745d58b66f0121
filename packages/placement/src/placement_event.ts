import type {EngineContent} from './engine_content.js';
import type {PlacementEventKind} from './placement_event_kind.js';
import type {PlacementPlan} from './placement_plan.js';

/** What the placement of engines is told. */
export type PlacementEvent =
  | {readonly kind: PlacementEventKind.PLAN; readonly plan: PlacementPlan}
  | {
      readonly kind: PlacementEventKind.MEMBERS;
      /** Hosts believed alive, with or without this one. */
      readonly alive: readonly string[];
      /** Hosts of the published list, alive or not. */
      readonly listed: number;
    }
  | {readonly kind: PlacementEventKind.KNOWN; readonly fencing: number}
  | {
      /** Answers one READ. */
      readonly kind: PlacementEventKind.READ_BACK;
      readonly engine: string;
      readonly content: EngineContent;
    }
  | {
      /** Ends one READ or ORDER without more to tell; the next read tells. */
      readonly kind:
        | PlacementEventKind.READ_FAILED
        | PlacementEventKind.ORDERED
        | PlacementEventKind.FAILED;
      readonly engine: string;
    }
  | {
      readonly kind: PlacementEventKind.REFUSED;
      readonly engine: string;
      /** Fencing number that the engine holds. */
      readonly fencing: number;
    }
  | {
      readonly kind: PlacementEventKind.DISABLED | PlacementEventKind.WAKE;
    };
