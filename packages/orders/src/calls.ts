import {ErrorKind, Failure, ExecutionStatus} from '@parsleywood/errors';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {Call} from './call.js';
import {makeOrderId} from './make_order_id.js';
import {OrderActionKind} from './order_action_kind.js';
import {ORDER_FAILURES} from './order_failures.js';
import type {Outbox} from './outbox.js';
import type {SubmitEvent} from './submit_event.js';

const ISSUER_RETRIES_MAX = 3;

/** The open calls of this host, which wait for the outcome of their orders. */
export class Calls {
  private readonly open = new Map<string, Call>();

  constructor(private readonly outbox: Outbox) {}

  add(submit: SubmitEvent): Call {
    const call: Call = {
      submit,
      orderId: makeOrderId(submit.account, submit.key),
      mayForwardToIssuer: true,
      route: [],
      pending: new Set(),
      nextHostAtMs: Infinity,
      awaitsClaim: false,
      claimLost: false,
      issuerRetriesLeft: ISSUER_RETRIES_MAX,
    };
    this.open.set(submit.call, call);
    return call;
  }

  find(callId: string): Call | undefined {
    return this.open.get(callId);
  }

  isOpen(call: Call): boolean {
    return this.open.get(call.submit.call) === call;
  }

  /** Lists the calls whose forward to a host has not been answered. */
  listPendingAt(host: string): Call[] {
    return [...this.open.values()].filter(call => call.pending.has(host));
  }

  /** Lists the calls that are due to try the next host of their route. */
  listDue(nowMs: number): Call[] {
    return [...this.open.values()].filter(call => call.nextHostAtMs <= nowMs);
  }

  /** Answers a call with an outcome, or with the failure in the outcome. */
  answer(call: Call, outcome: OrderOutcome): void {
    if (outcome.failureKind !== '') {
      this.fail(call, makeFailure(outcome));
      return;
    }
    if (!this.open.delete(call.submit.call)) return;
    const {call: callId} = call.submit;
    this.outbox.push({kind: OrderActionKind.ANSWER, call: callId, outcome});
  }

  fail(call: Call, failure: Failure): void {
    if (!this.open.delete(call.submit.call)) return;
    const {call: callId} = call.submit;
    this.outbox.push({kind: OrderActionKind.FAIL, call: callId, failure});
  }

  forward(call: Call, to: string, nextAtMs: number): void {
    call.pending.add(to);
    call.latest = to;
    call.nextHostAtMs = nextAtMs;
    const {call: callId} = call.submit;
    this.outbox.push({kind: OrderActionKind.FORWARD, call: callId, to});
  }

  /** Fails the calls whose deadline has passed. */
  expire(nowMs: number): void {
    for (const call of [...this.open.values()]) {
      if (call.submit.deadlineMs > nowMs) continue;
      this.fail(
        call,
        call.claimLost
          ? ORDER_FAILURES.makeUnknown()
          : ORDER_FAILURES.makeTimeLimit(),
      );
    }
  }

  wakeAtMs(): number {
    let wakeAtMs = Infinity;
    for (const {submit, nextHostAtMs: nextAtMs} of this.open.values()) {
      wakeAtMs = Math.min(wakeAtMs, submit.deadlineMs, nextAtMs);
    }
    return wakeAtMs;
  }
}

function makeFailure(outcome: OrderOutcome): Failure {
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
