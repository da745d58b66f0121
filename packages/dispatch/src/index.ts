/** Decides which upstreams get a request, from what all hosts have placed. */
export type {EngineForecast} from './engine_forecast.js';
export {forecastEngine} from './forecast_engine.js';
export {PassModel} from './pass_model.js';
export {pickServiceUpstream} from './pick_service_upstream.js';
export type {Placement} from './placement.js';
export {PlacementBook} from './placement_book.js';
export type {PlacementPart} from './placement_part.js';
export {PlacementPhase} from './placement_phase.js';
export type {PlacementRecord} from './placement_record.js';
export type {PromptDemand} from './prompt_demand.js';
export type {ReadPlan} from './read_plan.js';
export {ReadPlanner} from './read_planner.js';
export {UpstreamHealth} from './upstream_health.js';
export type {UpstreamWork} from './upstream_work.js';
export type {UpstreamChoice} from './upstream_choice.js';
export {UpstreamChooser} from './upstream_chooser.js';
