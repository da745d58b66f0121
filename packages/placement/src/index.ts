/**
 * Decides which commands to send to engines so that they hold the configured
 * models, adapters and versions in the configured roles.
 */
export type {DesiredArtifact} from './desired_artifact.js';
export type {DesiredEngine} from './desired_engine.js';
export type {EngineArtifact} from './engine_artifact.js';
export type {EngineCommand} from './engine_command.js';
export {EngineCommandKind} from './engine_command_kind.js';
export type {EngineState} from './engine_state.js';
export type {PlacementAction} from './placement_action.js';
export {PlacementActionKind} from './placement_action_kind.js';
export type {PlacementEvent} from './placement_event.js';
export {PlacementEventKind} from './placement_event_kind.js';
export type {PlacementPlan} from './placement_plan.js';
export {PlacementReconciler} from './placement_reconciler.js';
export type {PlacementRevision} from './placement_revision.js';
export {planPlacement} from './plan_placement.js';
export {toFencingToken} from './to_fencing_token.js';
