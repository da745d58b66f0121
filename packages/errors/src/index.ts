/** The closed list of error kinds and the answer each one gets. */
export type {Answer} from './answer.js';
export {ANSWERS} from './answers.js';
export type {ErrorBody} from './error_body.js';
export {ErrorKind} from './error_kind.js';
export {Failure} from './failure.js';
export {formatFailure} from './format_failure.js';
export {Ran} from './ran.js';
