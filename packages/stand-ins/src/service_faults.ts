/** Faults of the service, as given to POST /faults; absent ones stay. */
export interface ServiceFaults {
  /** Time for which nothing is answered, in milliseconds. */
  readonly freezeMs?: number;
  /** Whether the connection is cut after an order was executed. */
  readonly failAfterExecution?: boolean;
  /** Whether the connection is cut before an order is executed. */
  readonly failBeforeExecution?: boolean;
  /** Time added to each call, in milliseconds. */
  readonly slowMs?: number;
  /** Any call whose path or body holds this text crashes the service. */
  readonly crashOnMarker?: string;
}
