import type {Execution} from './execution.js';

/** Counts the executions of orders by account and key. */
export class ExecutionLedger {
  private readonly executions = new Map<string, Execution>();

  /** Records one execution and returns how many its key has had. */
  record(key: string, account: string): number {
    const id = JSON.stringify([account, key]);
    const count = (this.executions.get(id)?.count ?? 0) + 1;
    this.executions.set(id, {key, account, count});
    return count;
  }

  /** Lists the executions. */
  list(): Execution[] {
    return [...this.executions.values()];
  }
}
