/** Why an attempt failed. */
export enum AttemptFault {
  /** The upstream refused the attempt before running it. */
  REFUSED = 'refused',
  /** The upstream is shutting down and accepts no new work. */
  SHUTTING_DOWN = 'leaving',
  /** The connection could not be established, so nothing was sent. */
  UNREACHABLE = 'unreachable',
  /** The connection closed before the answer was complete. */
  BROKEN = 'broken',
  /** No event arrived within the idle timeout. */
  IDLE_TIMEOUT = 'silent',
  /** The answer skipped output positions. */
  GAP = 'gap',
  /** The upstream rejected the request as invalid. */
  INVALID = 'invalid',
}
