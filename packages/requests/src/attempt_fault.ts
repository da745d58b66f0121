/** Why an attempt failed. */
export enum AttemptFault {
  /** The upstream refused the attempt before running it. */
  REFUSED = 'refused',
  /** The upstream is leaving and takes no new work. */
  LEAVING = 'leaving',
  /** No connection was made; nothing was sent. */
  UNREACHABLE = 'unreachable',
  /** The connection closed before the answer's end. */
  BROKEN = 'broken',
  /** The upstream was silent for too long. */
  SILENT = 'silent',
  /** Positions were missing in the answer. */
  GAP = 'gap',
  /** The upstream found the request itself at fault. */
  INVALID = 'invalid',
}
