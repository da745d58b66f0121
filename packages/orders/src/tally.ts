import {
  OrderVoteAnswer,
  type OrderIncarnation,
  type OrderVote,
} from '@parsleywood/schema/orders';
import {makeIssuerId} from './make_issuer_id.js';
import type {CrashVector} from './crash_vector.js';
import {Safeguard} from './safeguard.js';
import type {View} from './view.js';

interface Answer {
  readonly incarnation: string;
  readonly vote: OrderVote;
}

/** Counts the votes on one claim in one view. */
export class Tally {
  private readonly answersByHost = new Map<string, Answer>();

  constructor(
    readonly view: View,
    private readonly issuerId: string,
    private readonly crashVector: CrashVector,
    private readonly disabled: ReadonlySet<Safeguard>,
  ) {}

  add(from: string, incarnation: string, vote: OrderVote): void {
    if (vote.view !== this.view.number || !this.view.has(from)) return;
    const known = this.answersByHost.get(from);
    if (known && isBindingVote(known.vote) && !isBindingVote(vote)) {
      if (known.incarnation === incarnation) return;
    }
    this.answersByHost.set(from, {incarnation, vote});
  }

  /** Whether a quorum has granted the claim. */
  hasQuorum(): boolean {
    return this.countVotesFor(this.issuerId) >= this.view.quorumSize;
  }

  /** Whether the answers so far still allow a quorum for the claim. */
  canReachQuorum(): boolean {
    const refused = this.listCurrentAnswers().filter(({vote}) =>
      isFinalRefusal(vote),
    );
    return this.view.members.length - refused.length >= this.view.quorumSize;
  }

  /**
   * Whether no other issuer can ever get a quorum in this view, including
   * issuers that have not claimed the order yet.
   */
  rulesOutOtherIssuers(): boolean {
    const bindingVotes = this.listCurrentAnswers().filter(({vote}) =>
      isBindingVote(vote),
    ).length;
    if (bindingVotes < this.view.blockingSize) return false;
    return [...this.listCompetitorIds()].every(
      competitorId =>
        bindingVotes - this.countVotesFor(competitorId) >=
        this.view.blockingSize,
    );
  }

  /** Finds the other issuer with the most votes, which may have won. */
  findCompetitor(): OrderIncarnation | undefined {
    const competitors = this.listCurrentAnswers().flatMap(({vote}) =>
      vote.boundTo ? [vote.boundTo] : [],
    );
    const byVotes = (issuer: OrderIncarnation) =>
      this.countVotesFor(makeIssuerId(issuer));
    return competitors.sort((a, b) => byVotes(b) - byVotes(a))[0];
  }

  /** Whether a witness knows the key with a different request fingerprint. */
  isKeyReused(fingerprint: string): boolean {
    return this.listCurrentAnswers().some(
      ({vote}) =>
        vote.boundFingerprint !== '' && vote.boundFingerprint !== fingerprint,
    );
  }

  isKeyExpired(): boolean {
    return this.listCurrentAnswers().some(
      ({vote}) => vote.answer === OrderVoteAnswer.ORDER_VOTE_ANSWER_EXPIRED,
    );
  }

  /** Lists the members without a final answer, which get the claim again. */
  listUndecidedMembers(): string[] {
    return this.view.members.filter(host => {
      const answer = this.answersByHost.get(host);
      if (!answer) return true;
      if (!this.crashVector.isCurrent(host, answer.incarnation)) return true;
      return !isBindingVote(answer.vote) && !isFinalRefusal(answer.vote);
    });
  }

  private listCurrentAnswers(): Answer[] {
    if (this.disabled.has(Safeguard.CRASH_VECTORS)) {
      return [...this.answersByHost.values()];
    }
    return [...this.answersByHost]
      .filter(([host, {incarnation}]) =>
        this.crashVector.isCurrent(host, incarnation),
      )
      .map(([, answer]) => answer);
  }

  private countVotesFor(issuerId: string): number {
    return this.listCurrentAnswers().filter(
      ({vote}) =>
        isBindingVote(vote) && this.getVotedIssuerId(vote) === issuerId,
    ).length;
  }

  private getVotedIssuerId(vote: OrderVote): string {
    return vote.boundTo ? makeIssuerId(vote.boundTo) : this.issuerId;
  }

  private listCompetitorIds(): Set<string> {
    const issuerIds = this.listCurrentAnswers()
      .filter(({vote}) => isBindingVote(vote))
      .map(({vote}) => this.getVotedIssuerId(vote));
    return new Set(issuerIds.filter(issuerId => issuerId !== this.issuerId));
  }
}

/** Whether the witness has voted, for this claim or for a competing one. */
function isBindingVote(vote: OrderVote): boolean {
  return (
    vote.answer === OrderVoteAnswer.ORDER_VOTE_ANSWER_GRANTED ||
    vote.answer === OrderVoteAnswer.ORDER_VOTE_ANSWER_BOUND
  );
}

/** Whether the witness will never vote for this claim in its view. */
function isFinalRefusal(vote: OrderVote): boolean {
  switch (vote.answer) {
    case OrderVoteAnswer.ORDER_VOTE_ANSWER_BOUND:
    case OrderVoteAnswer.ORDER_VOTE_ANSWER_SEEN:
    case OrderVoteAnswer.ORDER_VOTE_ANSWER_NOT_COVERED:
    case OrderVoteAnswer.ORDER_VOTE_ANSWER_EXPIRED:
    case OrderVoteAnswer.ORDER_VOTE_ANSWER_FULL:
      return true;
    default:
      return false;
  }
}
