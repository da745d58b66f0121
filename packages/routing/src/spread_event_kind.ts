/** Kinds of `SpreadEvent`. */
export enum SpreadEventKind {
  /** A prompt needs several engines. */
  NEEDED = 'needed',
  ENGINES = 'engines',
  RESERVED = 'reserved',
  REFUSED = 'refused',
  /** The engine freed a reservation because its lease expired. */
  EXPIRED = 'expired',
  /** The engine is no longer available. */
  LOST = 'lost',
  /** The request completed, was cancelled or timed out. */
  ENDED = 'ended',
  WAKE = 'wake',
}
