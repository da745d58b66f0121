/**
 * Lifecycle of one request (attempts, deadline, resume, cancel) and detection
 * of requests that crash upstreams.
 */
export {AttemptFault} from './attempt_fault.js';
export {BLOCK_TIMES_MS} from './block_times.js';
export type {CallContent} from './call_content.js';
export type {CrashBlock} from './crash_block.js';
export {CrashEvidence} from './crash_evidence.js';
export type {CrashReport} from './crash_report.js';
export {CrashStatus} from './crash_status.js';
export {CrashSuspects} from './crash_suspects.js';
export {describeScopes} from './describe_scopes.js';
export {FinishReason} from './finish_reason.js';
export {listTraits} from './list_traits.js';
export type {TraitCrash} from './trait_crash.js';
export type {TraitSuspicion} from './trait_suspicion.js';
export type {RequestAction} from './request_action.js';
export {RequestActionKind} from './request_action_kind.js';
export type {RequestEvent} from './request_event.js';
export {RequestEventKind} from './request_event_kind.js';
export {RequestLifecycle} from './request_lifecycle.js';
export type {RequestLifecycleOptions} from './request_lifecycle_options.js';
export type {RequestTraits} from './request_traits.js';
export type {SuspectState} from './suspect_state.js';
export type {SuspectUpdate} from './suspect_update.js';
export type {Usage} from './usage.js';
