/** Admits, queues or refuses requests by the limits and weights of their accounts. */
export type {Admission} from './admission.js';
export type {AdmissionAction} from './admission_action.js';
export {AdmissionActionKind} from './admission_action_kind.js';
export type {AdmissionEvent} from './admission_event.js';
export {AdmissionEventKind} from './admission_event_kind.js';
export type {AdmissionOptions} from './admission_options.js';
export type {AdmissionRequest} from './admission_request.js';
export type {AdmissionSettings} from './admission_settings.js';
export {FairAdmission} from './fair_admission.js';
export {FifoAdmission} from './fifo_admission.js';
export {RetryBudget} from './retry_budget.js';
