/** Faults of an engine, as given to POST /faults; absent ones stay. */
export interface EngineFaults {
  /** Whether the engine ends now and loses its memory. */
  readonly crash?: boolean;
  /** Time for which nothing is computed or answered, in milliseconds. */
  readonly freezeMs?: number;
  /** Multiplies the time of each step. */
  readonly slowFactor?: number;
  /** Any prompt that holds this text crashes the engine; none when empty. */
  readonly crashOnMarker?: string;
  /** Tokens after which a stream is cut without its last event; none when 0. */
  readonly truncateAfter?: number;
  /** Whether streams end without their last event. */
  readonly dropEndEvent?: boolean;
  /** Whether each event is sent twice. */
  readonly duplicateEvents?: boolean;
  /** Whether each event is sent to another stream as well. */
  readonly crossAnswers?: boolean;
  /** Whether new attempts are refused. */
  readonly leaving?: boolean;
}
