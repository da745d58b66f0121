/** Who sent a request, after the check of its key. */
export interface Caller {
  readonly requestId: string;
  readonly account: string;
}
