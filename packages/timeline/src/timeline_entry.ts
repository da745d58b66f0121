/** One event of one process, as the operators' interface serves it. */
export interface TimelineEntry {
  /** Wall part of the hybrid logical time, in milliseconds since the epoch. */
  readonly timeMs: number;
  readonly counter: number;
  readonly host: string;
  readonly incarnation: string;
  /** Position in the host's own order. */
  readonly sequence: number;
  readonly name: string;
  /** Empty when the event belongs to no request. */
  readonly requestId: string;
  readonly fields: Readonly<Record<string, string>>;
}
