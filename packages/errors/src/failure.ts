import {ErrorKind} from './error_kind.js';
import {ExecutionStatus} from './execution_status.js';

/** An error of a known kind; its message states what failed and where. */
export class Failure extends Error {
  /**
   * @param kind Determines the HTTP response.
   * @param message What failed and where; sent to the caller as it is.
   * @param ran Whether an upstream ran the request.
   * @param retryAfterMs Delay before a retry, in milliseconds; absent when a
   *     retry cannot help.
   */
  constructor(
    readonly kind: ErrorKind,
    message: string,
    readonly ran: ExecutionStatus = ExecutionStatus.NO,
    readonly retryAfterMs?: number,
  ) {
    super(message);
    this.name = 'Failure';
  }
}
