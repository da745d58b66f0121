import {ErrorKind, Failure, ExecutionStatus} from '@parsleywood/errors';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {Call} from './call.js';
import {nameOrder} from './name_order.js';
import {OrderActionKind} from './order_action_kind.js';
import {ORDER_FAILURES} from './order_failures.js';
import type {Outbox} from './outbox.js';
import type {SubmitEvent} from './submit_event.js';

const FOLLOWS_MAX = 3;

/** The calls that wait for an answer. */
export class Calls {
  private readonly open = new Map<string, Call>();

  constructor(private readonly outbox: Outbox) {}

  add(submit: SubmitEvent): Call {
    const call: Call = {
      submit,
      order: nameOrder(submit.account, submit.key),
      mayFollow: true,
      route: [],
      pending: new Set(),
      nextAtMs: Infinity,
      awaitsClaim: false,
      lost: false,
      followsLeft: FOLLOWS_MAX,
    };
    this.open.set(submit.call, call);
    return call;
  }

  find(name: string): Call | undefined {
    return this.open.get(name);
  }

  isOpen(call: Call): boolean {
    return this.open.get(call.submit.call) === call;
  }

  /** Calls with a forward to a host under way. */
  listPending(host: string): Call[] {
    return [...this.open.values()].filter(call => call.pending.has(host));
  }

  /** Calls whose next host is due. */
  listDue(nowMs: number): Call[] {
    return [...this.open.values()].filter(call => call.nextAtMs <= nowMs);
  }

  /** Answers with an outcome, or with the failure that it carries. */
  answer(call: Call, outcome: OrderOutcome): void {
    if (outcome.failureKind !== '') {
      this.fail(call, readFailure(outcome));
      return;
    }
    if (!this.open.delete(call.submit.call)) return;
    const {call: name} = call.submit;
    this.outbox.push({kind: OrderActionKind.ANSWER, call: name, outcome});
  }

  fail(call: Call, failure: Failure): void {
    if (!this.open.delete(call.submit.call)) return;
    const {call: name} = call.submit;
    this.outbox.push({kind: OrderActionKind.FAIL, call: name, failure});
  }

  forward(call: Call, to: string, nextAtMs: number): void {
    call.pending.add(to);
    call.latest = to;
    call.nextAtMs = nextAtMs;
    const {call: name} = call.submit;
    this.outbox.push({kind: OrderActionKind.FORWARD, call: name, to});
  }

  /** Answers the calls whose time limit has passed. */
  expire(nowMs: number): void {
    for (const call of [...this.open.values()]) {
      if (call.submit.deadlineMs > nowMs) continue;
      this.fail(
        call,
        call.lost
          ? ORDER_FAILURES.makeUnknown()
          : ORDER_FAILURES.makeTimeLimit(),
      );
    }
  }

  wakeAtMs(): number {
    let wakeAtMs = Infinity;
    for (const {submit, nextAtMs} of this.open.values()) {
      wakeAtMs = Math.min(wakeAtMs, submit.deadlineMs, nextAtMs);
    }
    return wakeAtMs;
  }
}

function readFailure(outcome: OrderOutcome): Failure {
  const kind = Object.values(ErrorKind).find(
    known => known === outcome.failureKind,
  );
  const ran = Object.values(ExecutionStatus).find(
    known => known === outcome.ran,
  );
  return new Failure(
    kind ?? ErrorKind.INTERNAL,
    outcome.failureMessage,
    ran ?? ExecutionStatus.UNKNOWN,
    outcome.retryAfterMs > 0 ? outcome.retryAfterMs : undefined,
  );
}
