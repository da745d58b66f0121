/** Plays load patterns against modelled engines, on virtual time. */
export {comparePolicies} from './compare_policies.js';
export {emulate} from './emulate.js';
export type {Emulation} from './emulation.js';
export type {KindSummary} from './kind_summary.js';
export {PolicyName} from './policy_name.js';
export {readPattern} from './read_pattern.js';
export {recordPattern} from './record_pattern.js';
export {RequestOutcome} from './request_outcome.js';
export type {RequestResult} from './request_result.js';
export {summarize} from './summarize.js';
export {writeReport} from './write_report.js';
