/** What a caller got for one completion. */
export interface CompletionResult {
  /** HTTP status; 0 when the connection failed before one. */
  readonly status: number;
  readonly text: string;
  /** Whether the stream ended with its final event. */
  readonly whole: boolean;
  /** Time until the first token, in milliseconds; NaN without one. */
  readonly firstTokenMs: number;
  readonly totalMs: number;
  /** Host that served the request. */
  readonly host: string;
  readonly requestId: string;
  /** Kind of the error, where one was reported. */
  readonly errorKind?: string;
  /** Whether it ran, as the error says. */
  readonly ran?: string;
}
