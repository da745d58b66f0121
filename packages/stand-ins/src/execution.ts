/** Executions of the orders that one account sent with one key. */
export interface Execution {
  readonly key: string;
  readonly account: string;
  readonly count: number;
}
