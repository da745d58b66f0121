import {
  OrderVoteAnswer,
  type OrderClaim,
  type OrderIncarnation,
  type OrderVote,
} from '@parsleywood/schema/orders';
import type {ClaimRecord} from './claim_record.js';
import type {ClaimTable} from './claim_table.js';
import type {CrashVector} from './crash_vector.js';
import {KeyCover} from './key_coverage.js';
import {nameIssuer} from './make_issuer_id.js';
import {nameOrder} from './make_order_id.js';
import type {OrderBounds} from './order_bounds.js';
import type {Recovery} from './recovery.js';
import {Safeguard} from './safeguard.js';

/** Votes for the first claim that it sees on an order, for ever. */
export class Witness {
  constructor(
    private readonly table: ClaimTable,
    private readonly recovery: Recovery,
    private readonly crashVector: CrashVector,
    private readonly bounds: OrderBounds,
    private readonly disabled: ReadonlySet<Safeguard>,
  ) {}

  /** Answers a claim; undefined when the claim is too old to be answered. */
  vote(claim: OrderClaim, wallMs: number): OrderVote | undefined {
    const {issuer} = claim;
    if (!issuer || this.bounds.isStale(claim.sentAtMs, wallMs)) {
      return undefined;
    }
    const view = this.recovery.view;
    if (view && claim.view < view.number) {
      const vote = this.answer(claim, OrderVoteAnswer.ORDER_VOTE_ANSWER_CLOSED);
      return {...vote, newerView: view.toMessage()};
    }
    if (claim.view !== view?.number || !this.recovery.mayVote()) {
      return this.answer(claim, OrderVoteAnswer.ORDER_VOTE_ANSWER_NOT_READY);
    }
    return this.voteInView(claim, issuer, wallMs);
  }

  private voteInView(
    claim: OrderClaim,
    issuer: OrderIncarnation,
    wallMs: number,
  ): OrderVote {
    const record = this.table.find(nameOrder(claim.account, claim.key));
    const own = record?.vote;
    if (record && own?.view === claim.view) {
      return nameIssuer(own.issuer) === nameIssuer(issuer)
        ? this.answer(claim, OrderVoteAnswer.ORDER_VOTE_ANSWER_GRANTED)
        : this.answer(
            claim,
            OrderVoteAnswer.ORDER_VOTE_ANSWER_BOUND,
            own.issuer,
            record,
          );
    }
    const rival = record && this.findRival(record, issuer);
    if (rival) {
      return this.answer(
        claim,
        OrderVoteAnswer.ORDER_VOTE_ANSWER_SEEN,
        rival,
        record,
      );
    }
    const refusal = this.findRefusal(claim, record, wallMs);
    if (refusal !== undefined) return this.answer(claim, refusal);
    this.table.vote(claim, this.bounds.keepVoteUntil(wallMs));
    return this.answer(claim, OrderVoteAnswer.ORDER_VOTE_ANSWER_GRANTED);
  }

  /** An issuer dispatches once, so only claims of others hinder a vote. */
  private findRival(
    record: ClaimRecord,
    issuer: OrderIncarnation,
  ): OrderIncarnation | undefined {
    if (this.disabled.has(Safeguard.MARKERS)) return undefined;
    const name = nameIssuer(issuer);
    for (const [other, rival] of record.issuers) {
      if (other !== name) return rival;
    }
    return undefined;
  }

  private findRefusal(
    claim: OrderClaim,
    record: ClaimRecord | undefined,
    wallMs: number,
  ): OrderVoteAnswer | undefined {
    if (!record && this.table.isFull()) {
      return OrderVoteAnswer.ORDER_VOTE_ANSWER_FULL;
    }
    if (this.disabled.has(Safeguard.KEY_AGE)) return undefined;
    const memoryFromMs = this.recovery.memoryFromMs;
    switch (this.bounds.coverKey(claim.key, memoryFromMs, wallMs)) {
      case KeyCover.COVERED:
        return undefined;
      case KeyCover.NOT_COVERED:
        return OrderVoteAnswer.ORDER_VOTE_ANSWER_NOT_COVERED;
      case KeyCover.EXPIRED:
        return OrderVoteAnswer.ORDER_VOTE_ANSWER_EXPIRED;
    }
  }

  private answer(
    claim: OrderClaim,
    answer: OrderVoteAnswer,
    boundTo?: OrderIncarnation,
    record?: ClaimRecord,
  ): OrderVote {
    return {
      account: claim.account,
      key: claim.key,
      number: claim.number,
      view: claim.view,
      answer,
      boundTo,
      boundFingerprint: record?.fingerprint ?? '',
      crashVector: this.crashVector.toEntries(this.recovery.view?.members),
      newerView: undefined,
      issuer: claim.issuer,
    };
  }
}
