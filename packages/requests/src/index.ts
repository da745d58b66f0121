/** The life of one request: attempts, deadline, resume and cancel. */
export {AttemptFault} from './attempt_fault.js';
export {Finish} from './finish.js';
export {Life} from './life.js';
export type {LifeAction} from './life_action.js';
export {LifeActionKind} from './life_action_kind.js';
export type {LifeEvent} from './life_event.js';
export {LifeEventKind} from './life_event_kind.js';
export type {LifeOptions} from './life_options.js';
export type {Usage} from './usage.js';
export type {SuspectNews} from './suspect_news.js';
export {Suspects} from './suspects.js';
export {Verdict} from './verdict.js';
