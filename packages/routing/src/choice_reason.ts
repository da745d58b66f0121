/** Reason for a choice, recorded in the timeline. */
export enum ChoiceReason {
  /** Next upstream in round-robin order. */
  ROUND_ROBIN = 'round_robin',
  /** Fewest attempts of this host in flight. */
  LEAST_IN_FLIGHT = 'least_in_flight',
  /**
   * Shortest expected wait within the lane of the length class of the request.
   */
  LANE = 'lane',
  /**
   * An engine of another lane, without longer prefills, has the shortest
   * expected wait.
   */
  OUTSIDE_LANE = 'outside_lane',
  /** The engine has a prefix of the prompt in its cache. */
  PREFIX = 'prefix',
  /**
   * The request was about to miss its time limit, so engines before its lane
   * were allowed.
   */
  AGED = 'aged',
  /**
   * Even the best engine that the request may use is prefilling longer prompts.
   */
  BEHIND_LONGER = 'behind_longer',
  /** The request needs more KV memory than any single engine has. */
  EXCEEDS_ENGINE = 'exceeds_engine',
  /** The model has no upstream that the request may use now. */
  NO_UPSTREAM = 'no_upstream',
}
