import type {OrderRecord} from './order_record.js';

const RAN_NO = 'no';

/** Finds orders that broke a promise. */
export function checkOrders(
  orders: readonly OrderRecord[],
  executions: ReadonlyMap<string, number>,
): string[] {
  const violations: string[] = [];
  for (const {idempotencyKey, answers} of orders) {
    const count = executions.get(idempotencyKey) ?? 0;
    const last = answers.at(-1);
    if (count > 1) {
      violations.push(`${idempotencyKey}: executed ${count} times`);
    }
    if (last?.ran === RAN_NO && count > 0) {
      violations.push(`${idempotencyKey}: executed, but told it was not run`);
    }
    const placed = answers.some(({status}) => status === 201);
    if (placed && count === 0) {
      violations.push(`${idempotencyKey}: answered, but never executed`);
    }
    const bodies = answers
      .filter(({status}) => status === 201)
      .map(({body}) => body);
    if (new Set(bodies).size > 1) {
      violations.push(`${idempotencyKey}: two answers differ`);
    }
  }
  return violations;
}
