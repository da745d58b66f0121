/** Why a stream cannot go on at another upstream; the values are for operators. */
export enum ResumeObstacle {
  NO_ID = 'its last event has no id',
  UNTELLABLE_ID = 'the id of its last event cannot be told in a header',
  REPEATED_ID = 'several of its events have one id',
  TOO_LONG = 'it has too many events to recognise them again',
}
