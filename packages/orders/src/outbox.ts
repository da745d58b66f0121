import type {OrderMessage} from '@parsleywood/schema/orders';
import type {OrderAction} from './order_action.js';
import {OrderActionKind} from './order_action_kind.js';

/** Collects the actions that result from one event. */
export class Outbox {
  private actions: OrderAction[] = [];

  push(action: OrderAction): void {
    this.actions.push(action);
  }

  send(to: string, body: NonNullable<OrderMessage['body']>): void {
    this.push({kind: OrderActionKind.SEND, to, message: {body}});
  }

  drain(): OrderAction[] {
    const drained = this.actions;
    this.actions = [];
    return drained;
  }
}
