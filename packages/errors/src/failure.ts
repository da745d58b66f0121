import {ErrorKind} from './error_kind.js';
import {Ran} from './ran.js';

/** An error of a known kind that names what failed and where. */
export class Failure extends Error {
  /**
   * @param kind The row of the answer table.
   * @param message What failed and where, fit for the caller's eyes.
   * @param ran Whether an upstream ran the request.
   * @param retryAfterMs When to come back, in milliseconds; absent when coming
   *     back does not help.
   */
  constructor(
    readonly kind: ErrorKind,
    message: string,
    readonly ran: Ran = Ran.NO,
    readonly retryAfterMs?: number,
  ) {
    super(message);
    this.name = 'Failure';
  }
}
