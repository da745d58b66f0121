/** Why what an upstream sends is no part of a stream; the values are for operators. */
export enum StreamFault {
  EVENT_TOO_LONG = 'event of the stream exceeds the maximum length',
  NO_EVENT = 'response is not a valid event stream',
  /** Of a resumed stream: where it goes on is not known. */
  NO_ID = 'resumed stream goes on with an event without an id',
  /** Of a resumed stream: it starts earlier, and its events differ. */
  OTHER_RUN = 'resumed stream does not go on after the last event passed on',
}
