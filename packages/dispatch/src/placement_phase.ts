/** What an upstream does for a placement. */
export enum PlacementPhase {
  /** Its prompt waits or is being read; a plain call waits or runs. */
  READING = 'reading',
  /** The answer's events are coming. */
  WRITING = 'writing',
}
