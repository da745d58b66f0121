import {ExecutionStatus} from '@parsleywood/errors';
import {OrderVoteAnswer} from '@parsleywood/schema/orders';
import {expect} from 'chai';
import {OrderActionKind} from './order_action_kind.js';
import type {OrderEvent} from './order_event.js';
import {OrderEventKind} from './order_event_kind.js';
import {Orders} from './orders.js';
import {makeOutcome} from './proof/make_outcome.js';

describe('Orders on one host', () => {
  const START_MS = 1_000_000;
  const DAY_MS = 86_400_000;

  function makeHost(capacity?: number): Orders {
    const orders = new Orders({host: 'h0', id: `${START_MS}-0`}, capacity);
    const view = {number: 1, members: ['h0'], leaving: []};
    orders.handle({kind: OrderEventKind.VIEW, ...view}, 0);
    return orders;
  }

  function makeSubmit(key: string, fingerprint = 'f', wallMs = 0): OrderEvent {
    return {
      kind: OrderEventKind.SUBMIT,
      call: `${key}${fingerprint}`,
      account: 'a',
      key,
      fingerprint,
      deadlineMs: 2_000,
      wallMs: wallMs || START_MS + 10_000,
      forwarded: false,
    };
  }

  function makeKey(createdMs: number): string {
    const hex = createdMs.toString(16).padStart(12, '0');
    return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000000`;
  }

  function handleAndListKinds(
    orders: Orders,
    event: OrderEvent,
    nowMs = 10,
  ): string[] {
    return orders
      .handle(event, nowMs)
      .map(action =>
        action.kind === OrderActionKind.FAIL
          ? `${action.failure.kind}/${action.failure.ran}`
          : action.kind,
      );
  }

  it('refuses a key that was used with a different request', () => {
    const orders = makeHost();
    const key = makeKey(START_MS + 9_000);
    expect(handleAndListKinds(orders, makeSubmit(key))).to.eql(['dispatch']);
    const outcome = makeOutcome('', ExecutionStatus.YES);
    const kind = OrderEventKind.OUTCOME as const;
    const done = handleAndListKinds(orders, {kind, account: 'a', key, outcome});
    expect(done).to.eql(['answer']);
    const reused = handleAndListKinds(orders, makeSubmit(key, 'g'));
    expect(reused).to.eql(['idempotency_key_reused/unknown']);
  });

  it('refuses keys that are expired, from the future or older than its records', () => {
    const orders = makeHost();
    const wallMs = START_MS + 2 * DAY_MS;
    const old = makeSubmit(makeKey(START_MS), 'f', wallMs);
    const future = makeSubmit(makeKey(wallMs + 60_000), 'f', wallMs);
    expect(handleAndListKinds(orders, old)).to.eql([
      'idempotency_key_expired/unknown',
    ]);
    expect(handleAndListKinds(orders, future)).to.eql([
      'order_undecided/unknown',
    ]);
    const before = makeSubmit(makeKey(START_MS - 1));
    expect(handleAndListKinds(makeHost(), before)).to.eql([
      'order_undecided/unknown',
    ]);
    const untimed = makeSubmit('untimed');
    expect(handleAndListKinds(makeHost(), untimed)).to.eql([
      'order_undecided/unknown',
    ]);
  });

  it('refuses new keys while its claim table is full, and keeps known ones', () => {
    const orders = makeHost(1);
    const key = makeKey(START_MS + 9_000);
    expect(handleAndListKinds(orders, makeSubmit(key))).to.eql(['dispatch']);
    const other = makeSubmit(makeKey(START_MS + 9_001));
    expect(handleAndListKinds(orders, other)).to.eql([
      'order_undecided/unknown',
    ]);
    expect(handleAndListKinds(orders, makeSubmit(key, 'g'))).to.eql([
      'idempotency_key_reused/unknown',
    ]);
  });

  it('frees its claim table after the keys expire', () => {
    const orders = makeHost(1);
    const laterMs = 2 * DAY_MS;
    const first = makeSubmit(makeKey(START_MS + 9_000));
    expect(handleAndListKinds(orders, first)).to.eql(['dispatch']);
    const outcome = makeOutcome('', ExecutionStatus.YES);
    const kind = OrderEventKind.OUTCOME as const;
    const {key} = first as {key: string};
    handleAndListKinds(orders, {kind, account: 'a', key, outcome});
    handleAndListKinds(orders, {kind: OrderEventKind.WAKE}, laterMs);
    const wallMs = START_MS + laterMs;
    const next = {
      ...makeSubmit(makeKey(wallMs), 'f', wallMs),
      deadlineMs: laterMs + 2_000,
    } as OrderEvent;
    expect(handleAndListKinds(orders, next, laterMs)).to.eql(['dispatch']);
  });

  it('ignores votes for a claim of its earlier incarnation', () => {
    const orders = new Orders({host: 'h0', id: '2000-0'});
    const members = ['h0', 'h1', 'h2'];
    const view = {number: 1, members, leaving: []};
    orders.handle({kind: OrderEventKind.VIEW, ...view}, 0);
    const key = makeKey(START_MS);
    orders.handle({...makeSubmit(key), forwarded: true} as OrderEvent, 0);
    const sendVotes = (issuerIncarnation: string) =>
      ['h1', 'h2'].flatMap(from =>
        handleAndListKinds(orders, {
          kind: OrderEventKind.MESSAGE,
          from,
          incarnation: '1-0',
          wallMs: START_MS + 10_000,
          message: {
            body: {
              $case: 'vote',
              value: {
                account: 'a',
                key,
                number: 1,
                view: 1,
                answer: OrderVoteAnswer.ORDER_VOTE_ANSWER_GRANTED,
                boundTo: undefined,
                boundFingerprint: '',
                crashVector: [],
                newerView: undefined,
                issuer: {host: 'h0', incarnation: issuerIncarnation},
              },
            },
          },
        }),
      );
    expect(sendVotes('1000-0')).to.eql([]);
    expect(sendVotes('2000-0')).to.eql(['dispatch']);
  });
});
