/**
 * Lifecycle of one request (attempts, deadline, resume, cancel) and detection
 * of requests that crash upstreams.
 */
export {AttemptFault} from './attempt_fault.js';
export {Finish} from './finish.js';
export {Life} from './life.js';
export type {LifeAction} from './life_action.js';
export {LifeActionKind} from './life_action_kind.js';
export type {LifeEvent} from './life_event.js';
export {LifeEventKind} from './life_event_kind.js';
export type {RequestLifecycleOptions} from './request_lifecycle_options.js';
export type {Usage} from './usage.js';
export type {SuspectNews} from './suspect_news.js';
export {Suspects} from './suspects.js';
export {Verdict} from './verdict.js';
