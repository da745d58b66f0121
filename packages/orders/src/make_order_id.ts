/** Names an order: one account's use of one idempotency key. */
export function makeOrderId(account: string, key: string): string {
  return `${account.length}:${account}${key}`;
}
