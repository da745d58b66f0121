import {ExecutionStatus} from '@parsleywood/errors';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {Decision} from '@parsleywood/types';
import {makeOrderId} from '../make_order_id.js';
import type {OrderAction} from '../order_action.js';
import {OrderActionKind} from '../order_action_kind.js';
import type {OrderEvent} from '../order_event.js';
import {OrderEventKind} from '../order_event_kind.js';
import {makeOutcome} from './make_outcome.js';

/**
 * Baseline without coordination: each host that gets an order dispatches it,
 * and recognizes duplicates only among its own calls.
 */
export class UncoordinatedOrders implements Decision<OrderEvent, OrderAction> {
  private readonly outcomes = new Map<string, OrderOutcome | undefined>();
  private readonly calls = new Map<string, string[]>();

  handle(event: OrderEvent): OrderAction[] {
    switch (event.kind) {
      case OrderEventKind.SUBMIT:
        return this.submit(event);
      case OrderEventKind.OUTCOME:
        return this.finish(makeOrderId(event.account, event.key));
      default:
        return [];
    }
  }

  wakeAtMs(): number {
    return Infinity;
  }

  private submit(event: OrderEvent & {kind: OrderEventKind.SUBMIT}) {
    const {call, account, key} = event;
    const order = makeOrderId(account, key);
    this.calls.set(order, [...(this.calls.get(order) ?? []), call]);
    if (this.outcomes.get(order)) return this.finish(order);
    if (this.outcomes.has(order)) return [];
    this.outcomes.set(order, undefined);
    const kind = OrderActionKind.DISPATCH as const;
    return [{kind, call, account, key, fencing: 0}];
  }

  private finish(order: string): OrderAction[] {
    const outcome = makeOutcome('', ExecutionStatus.YES);
    this.outcomes.set(order, outcome);
    const calls = this.calls.get(order) ?? [];
    this.calls.delete(order);
    return calls.map(call => ({kind: OrderActionKind.ANSWER, call, outcome}));
  }
}
