import {
  OrderVoteAnswer,
  type OrderClaim,
  type OrderIncarnation,
  type OrderVote,
} from '@parsleywood/schema/orders';
import type {ClaimRecord} from './claim_record.js';
import type {ClaimTable} from './claim_table.js';
import type {CrashVector} from './crash_vector.js';
import {KeyStatus} from './key_status.js';
import {makeIssuerId} from './make_issuer_id.js';
import {makeOrderId} from './make_order_id.js';
import type {OrderBounds} from './order_bounds.js';
import type {Recovery} from './recovery.js';
import {Safeguard} from './safeguard.js';

/**
 * Votes on claims. For each order it grants the first claim that it sees and
 * refuses the claims of all other issuers.
 */
export class Witness {
  constructor(
    private readonly table: ClaimTable,
    private readonly recovery: Recovery,
    private readonly crashVector: CrashVector,
    private readonly bounds: OrderBounds,
    private readonly disabled: ReadonlySet<Safeguard>,
  ) {}

  /** Votes on a claim; undefined if the claim was sent too long ago. */
  vote(claim: OrderClaim, wallMs: number): OrderVote | undefined {
    const {issuer} = claim;
    if (!issuer || this.bounds.isClaimStale(claim.sentAtMs, wallMs)) {
      return undefined;
    }
    const view = this.recovery.view;
    if (view && claim.view < view.number) {
      const vote = this.makeVote(
        claim,
        OrderVoteAnswer.ORDER_VOTE_ANSWER_CLOSED,
      );
      return {...vote, newerView: view.toMessage()};
    }
    if (claim.view !== view?.number || !this.recovery.mayVote()) {
      return this.makeVote(claim, OrderVoteAnswer.ORDER_VOTE_ANSWER_NOT_READY);
    }
    return this.voteInView(claim, issuer, wallMs);
  }

  private voteInView(
    claim: OrderClaim,
    issuer: OrderIncarnation,
    wallMs: number,
  ): OrderVote {
    const record = this.table.find(makeOrderId(claim.account, claim.key));
    const ownVote = record?.vote;
    if (record && ownVote?.view === claim.view) {
      return makeIssuerId(ownVote.issuer) === makeIssuerId(issuer)
        ? this.makeVote(claim, OrderVoteAnswer.ORDER_VOTE_ANSWER_GRANTED)
        : this.makeVote(
            claim,
            OrderVoteAnswer.ORDER_VOTE_ANSWER_BOUND,
            ownVote.issuer,
            record,
          );
    }
    const competitor = record && this.findCompetitor(record, issuer);
    if (competitor) {
      return this.makeVote(
        claim,
        OrderVoteAnswer.ORDER_VOTE_ANSWER_SEEN,
        competitor,
        record,
      );
    }
    const refusal = this.findRefusalReason(claim, record, wallMs);
    if (refusal !== undefined) return this.makeVote(claim, refusal);
    this.table.recordVote(claim, this.bounds.computeVoteExpiryMs(wallMs));
    return this.makeVote(claim, OrderVoteAnswer.ORDER_VOTE_ANSWER_GRANTED);
  }

  /**
   * Finds another issuer with a claim on the order. Other claims of the same
   * issuer do not matter, because an issuer dispatches an order at most once.
   */
  private findCompetitor(
    record: ClaimRecord,
    issuer: OrderIncarnation,
  ): OrderIncarnation | undefined {
    if (this.disabled.has(Safeguard.KNOWN_CLAIMS)) return undefined;
    const issuerId = makeIssuerId(issuer);
    for (const [knownId, knownIssuer] of record.issuers) {
      if (knownId !== issuerId) return knownIssuer;
    }
    return undefined;
  }

  private findRefusalReason(
    claim: OrderClaim,
    record: ClaimRecord | undefined,
    wallMs: number,
  ): OrderVoteAnswer | undefined {
    if (!record && this.table.isFull()) {
      return OrderVoteAnswer.ORDER_VOTE_ANSWER_FULL;
    }
    if (this.disabled.has(Safeguard.KEY_AGE)) return undefined;
    const memoryFromMs = this.recovery.memoryFromMs;
    switch (this.bounds.getKeyStatus(claim.key, memoryFromMs, wallMs)) {
      case KeyStatus.COVERED:
        return undefined;
      case KeyStatus.NOT_COVERED:
        return OrderVoteAnswer.ORDER_VOTE_ANSWER_NOT_COVERED;
      case KeyStatus.EXPIRED:
        return OrderVoteAnswer.ORDER_VOTE_ANSWER_EXPIRED;
    }
  }

  private makeVote(
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
