/** What a spread plan can be told. */
export enum SpreadEventKind {
  /** A prompt needs several engines. */
  NEEDED = 'needed',
  ENGINES = 'engines',
  RESERVED = 'reserved',
  REFUSED = 'refused',
  /** The engine ended a reservation because its lease passed. */
  EXPIRED = 'expired',
  /** The engine is gone. */
  LOST = 'lost',
  /** The request ended, was cancelled or timed out. */
  ENDED = 'ended',
  WAKE = 'wake',
}
