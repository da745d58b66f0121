/** An authenticated request: its id and the client account of its API key. */
export interface Caller {
  readonly requestId: string;
  readonly account: string;
}
