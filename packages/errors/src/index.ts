/** Error kinds and the HTTP response that reports each one. */
export type {ErrorBody} from './error_body.js';
export {ErrorKind} from './error_kind.js';
export type {ErrorResponse} from './error_response.js';
export {ERROR_RESPONSES} from './error_responses.js';
export {ExecutionStatus} from './execution_status.js';
export {Failure} from './failure.js';
export {formatFailure} from './format_failure.js';
