/** Why a request is ended for want of memory. */
export enum MemoryEnd {
  /** There was no room in time. */
  NO_ROOM = 'no_room',
  /** The caller neither sent nor read for a time, and others needed the room. */
  STALLED = 'stalled',
}
