/** What tells where the body of a response ends, by RFC 9112, section 6.3. */
export enum ResponseFraming {
  /** There is no body, whatever the fields say. */
  NONE = 'none',
  LENGTH = 'length',
  CHUNKS = 'chunks',
  /** The body lasts until the upstream closes the connection. */
  CONNECTION = 'connection',
  /** The body cannot be told from what follows, or comes in a coding not asked for. */
  FAULTY = 'faulty',
}
