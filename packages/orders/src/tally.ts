import {
  OrderVoteAnswer,
  type OrderIncarnation,
  type OrderVote,
} from '@parsleywood/schema/orders';
import {nameIssuer} from './make_issuer_id.js';
import type {CrashVector} from './crash_vector.js';
import {Safeguard} from './safeguard.js';
import type {View} from './view.js';

interface Answer {
  readonly incarnation: string;
  readonly vote: OrderVote;
}

/** Counts the answers to one claim in one view. */
export class Tally {
  private readonly answers = new Map<string, Answer>();

  constructor(
    readonly view: View,
    private readonly issuer: string,
    private readonly crashVector: CrashVector,
    private readonly disabled: ReadonlySet<Safeguard>,
  ) {}

  take(from: string, incarnation: string, vote: OrderVote): void {
    if (vote.view !== this.view.number || !this.view.has(from)) return;
    const known = this.answers.get(from);
    if (known && isPromise(known.vote) && !isPromise(vote)) {
      if (known.incarnation === incarnation) return;
    }
    this.answers.set(from, {incarnation, vote});
  }

  /** Whether the claim has a quorum. */
  isWon(): boolean {
    return this.countFor(this.issuer) >= this.view.quorum;
  }

  /** Whether a quorum can still come about, as far as is known. */
  canWin(): boolean {
    const refused = this.list().filter(({vote}) => isFinalRefusal(vote));
    return this.view.members.length - refused.length >= this.view.quorum;
  }

  /** Whether no other issuer's claim can ever win, nor one not yet made. */
  excludesOthers(): boolean {
    const total = this.list().filter(({vote}) => isPromise(vote)).length;
    if (total < this.view.blocking) return false;
    return [...this.nameRivals()].every(
      name => total - this.countFor(name) >= this.view.blocking,
    );
  }

  /** The issuer most likely to have won in this claim's stead. */
  findRival(): OrderIncarnation | undefined {
    const rivals = this.list().flatMap(({vote}) =>
      vote.boundTo ? [vote.boundTo] : [],
    );
    const byVotes = (rival: OrderIncarnation) =>
      this.countFor(nameIssuer(rival));
    return rivals.sort((a, b) => byVotes(b) - byVotes(a))[0];
  }

  /** Whether a witness knows the key with another request. */
  isReused(fingerprint: string): boolean {
    return this.list().some(
      ({vote}) =>
        vote.boundFingerprint !== '' && vote.boundFingerprint !== fingerprint,
    );
  }

  isExpired(): boolean {
    return this.list().some(
      ({vote}) => vote.answer === OrderVoteAnswer.ORDER_VOTE_ANSWER_EXPIRED,
    );
  }

  /** Members whose answer may still change for the better. */
  listOpen(): string[] {
    return this.view.members.filter(host => {
      const answer = this.answers.get(host);
      if (!answer) return true;
      if (!this.crashVector.isCurrent(host, answer.incarnation)) return true;
      return !isPromise(answer.vote) && !isFinalRefusal(answer.vote);
    });
  }

  private list(): Answer[] {
    if (this.disabled.has(Safeguard.CRASH_VECTORS)) {
      return [...this.answers.values()];
    }
    return [...this.answers]
      .filter(([host, {incarnation}]) =>
        this.crashVector.isCurrent(host, incarnation),
      )
      .map(([, answer]) => answer);
  }

  private countFor(issuer: string): number {
    return this.list().filter(
      ({vote}) => isPromise(vote) && this.nameBound(vote) === issuer,
    ).length;
  }

  private nameBound(vote: OrderVote): string {
    return vote.boundTo ? nameIssuer(vote.boundTo) : this.issuer;
  }

  private nameRivals(): Set<string> {
    const names = this.list()
      .filter(({vote}) => isPromise(vote))
      .map(({vote}) => this.nameBound(vote));
    return new Set(names.filter(name => name !== this.issuer));
  }
}

function isPromise(vote: OrderVote): boolean {
  return (
    vote.answer === OrderVoteAnswer.ORDER_VOTE_ANSWER_GRANTED ||
    vote.answer === OrderVoteAnswer.ORDER_VOTE_ANSWER_BOUND
  );
}

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
