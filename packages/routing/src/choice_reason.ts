/** Why the router chose as it did, for the time line. */
export enum ChoiceReason {
  /** Next in turn. */
  ROUND_ROBIN = 'round_robin',
  /** Fewest requests of this host in flight. */
  LEAST_IN_FLIGHT = 'least_in_flight',
  /** Least expected wait within the lane of the request's length class. */
  LANE = 'lane',
  /** Another lane's engine, free of longer prefills, is expected to be faster. */
  OUTSIDE_LANE = 'outside_lane',
  /** The engine holds a prefix of the prompt in its cache. */
  PREFIX = 'prefix',
  /** The lane was widened so that the request ends within its limit. */
  AGED = 'aged',
  /** Every upstream outside of the avoided ones is busy with longer prefills. */
  BEHIND_LONGER = 'behind_longer',
  /** The prompt exceeds the memory of one engine. */
  EXCEEDS_ENGINE = 'exceeds_engine',
  /** The model has no upstream that the request may use. */
  NO_UPSTREAM = 'no_upstream',
}
