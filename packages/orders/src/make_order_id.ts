/** Makes the id of an order: one idempotency key of one client account. */
export function makeOrderId(account: string, key: string): string {
  return `${account.length}:${account}${key}`;
}
