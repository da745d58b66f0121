/**
 * Selects the upstream, priority and prefill chunk size for each attempt of a
 * request.
 */
export type {Choice} from './choice.js';
export {ChoiceKind} from './choice_kind.js';
export {ChoiceReason} from './choice_reason.js';
export type {ClassDemand} from './class_demand.js';
export {orderByRendezvous} from './order_by_rendezvous.js';
export {LaneRouter} from './lane_router.js';
export {LeastInFlightRouter} from './least_in_flight_router.js';
export {LengthClasses} from './length_classes.js';
export type {PromptPrefix} from './prompt_prefix.js';
export {PromptTokenEstimator} from './prompt_token_estimator.js';
export type {PromptUsage} from './prompt_usage.js';
export {RoundRobinRouter} from './round_robin_router.js';
export type {RoutedRequest} from './routed_request.js';
export type {Router} from './router.js';
export type {RouterEvent} from './router_event.js';
export {RouterEventKind} from './router_event_kind.js';
export type {RouterOptions} from './router_options.js';
export type {SpreadAction} from './spread_action.js';
export {SpreadActionKind} from './spread_action_kind.js';
export type {SpreadEngine} from './spread_engine.js';
export type {SpreadOptions} from './spread_options.js';
export type {SpreadEvent} from './spread_event.js';
export {SpreadEventKind} from './spread_event_kind.js';
export {SpreadScheduler} from './spread_scheduler.js';
export type {Upstream} from './upstream.js';
