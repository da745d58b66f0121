/** One recorded event, as the operators' API serves it. */
export interface TimelineEntry {
  /** Wall part of the hybrid logical time, in milliseconds since the epoch. */
  readonly timeMs: number;
  /** Orders events with the same timeMs. */
  readonly counter: number;
  readonly host: string;
  readonly incarnation: string;
  /** Number of the event within its incarnation, from 1 up. */
  readonly sequence: number;
  readonly name: string;
  /** Empty when the event belongs to no request. */
  readonly requestId: string;
  readonly fields: Readonly<Record<string, string>>;
}
