/** What a caller got for one call of a service. */
export interface CallResult {
  /** HTTP status; 0 when the connection failed before one. */
  readonly status: number;
  readonly body: string;
  readonly totalMs: number;
  /** Host that served the request. */
  readonly host: string;
  /** Kind of the error, where one was reported. */
  readonly errorKind?: string;
  /** Whether it ran, as the error says. */
  readonly ran?: string;
}
