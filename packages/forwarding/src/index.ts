/**
 * Routing of requests, retries of failed attempts, and the site configuration
 * behind them.
 */
export type {Account} from './account.js';
export {AttemptOutcome} from './attempt_outcome.js';
export {attemptTimeouts} from './attempt_timeouts.js';
export {BufferBudget} from './buffer_budget.js';
export type {CallerLimits} from './caller_limits.js';
export {chooseRetryAfterMs} from './choose_retry_after_ms.js';
export {comparePositions} from './compare_positions.js';
export {compareSnapshots} from './compare_snapshots.js';
export type {ColdStart} from './cold_start.js';
export type {Configuration} from './configuration.js';
export {DEFAULT_CALLER_LIMITS} from './default_caller_limits.js';
export {DrainAdmission} from './drain_admission.js';
export {DurationHistory} from './duration_history.js';
export type {EngineProfile} from './engine_profile.js';
export {EventCursor} from './event_cursor.js';
export {KeyTable} from './key_table.js';
export {leadsOn} from './leads_on.js';
export {LeavingUpstreams} from './leaving_upstreams.js';
export {matchRequest} from './match_request.js';
export {NextStep} from './next_step.js';
export {PieceBuffer} from './piece_buffer.js';
export {ReadBudget} from './read_budget.js';
export {ReadSize} from './read_size.js';
export {ReadTurn} from './read_turn.js';
export {RequestKind} from './request_kind.js';
export {RetryController} from './retry_controller.js';
export type {Route} from './route.js';
export type {RouteMatch} from './route_match.js';
export {RouteTable} from './route_table.js';
export type {RouteTarget} from './route_target.js';
export type {Service} from './service.js';
export {SharedRetryBudget} from './shared_retry_budget.js';
export type {SiteChange} from './site_change.js';
export type {SiteDelta} from './site_delta.js';
export {SiteDeltaLog} from './site_delta_log.js';
export {SiteReplica} from './site_replica.js';
export {SiteRules} from './site_rules.js';
export type {SiteSnapshot} from './site_snapshot.js';
export {SlidingWindowCounter} from './sliding_window_counter.js';
export type {StorePosition} from './store_position.js';
export type {UpstreamEntry} from './upstream_entry.js';
export {UpstreamRegistry} from './upstream_registry.js';
export {UpstreamPresence} from './upstream_presence.js';
export {UpstreamStage} from './upstream_stage.js';
export {WatchDuty} from './watch_duty.js';
