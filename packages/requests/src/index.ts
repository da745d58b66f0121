/**
 * Lifecycle of one request (attempts, deadline, resume, cancel) and detection
 * of requests that crash upstreams.
 */
export {AttemptFault} from './attempt_fault.js';
export {Finish} from './finish_reason.js';
export {Life} from './request_lifecycle.js';
export type {LifeAction} from './request_action.js';
export {LifeActionKind} from './request_action_kind.js';
export type {LifeEvent} from './request_event.js';
export {LifeEventKind} from './request_event_kind.js';
export type {RequestLifecycleOptions} from './request_lifecycle_options.js';
export type {Usage} from './usage.js';
export type {SuspectNews} from './suspect_update.js';
export {Suspects} from './crash_suspects.js';
export {Verdict} from './crash_status.js';
