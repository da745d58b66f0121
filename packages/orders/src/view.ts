import {createHash} from 'node:crypto';
import type {OrderView} from '@parsleywood/schema/orders';

/** One revision of the host list, with the quorum sizes that follow from it. */
export class View {
  /** Votes that a claim needs; any two quorums of a view share a member. */
  readonly quorumSize: number;
  /** Smallest set size that shares a member with every quorum of the view. */
  readonly blockingSize: number;
  private readonly memberSet: ReadonlySet<string>;

  constructor(
    readonly number: number,
    readonly members: readonly string[],
    private readonly leaving: readonly string[] = [],
  ) {
    this.memberSet = new Set(members);
    this.quorumSize = Math.floor(members.length / 2) + 1;
    this.blockingSize = members.length - this.quorumSize + 1;
  }

  static fromMessage(message: OrderView): View {
    return new View(message.number, message.members, message.leaving);
  }

  toMessage(): OrderView {
    return {
      number: this.number,
      members: [...this.members],
      leaving: [...this.leaving],
    };
  }

  has(host: string): boolean {
    return this.memberSet.has(host);
  }

  /**
   * Ranks the members for an order by rendezvous hashing; members that are
   * leaving come last.
   */
  rankMembers(orderId: string): string[] {
    const ranked = this.members
      .map(host => ({host, weight: hashHostAndOrder(host, orderId)}))
      .sort((a, b) => (a.weight < b.weight ? 1 : -1))
      .map(({host}) => host);
    return [
      ...ranked.filter(host => !this.leaving.includes(host)),
      ...ranked.filter(host => this.leaving.includes(host)),
    ];
  }
}

function hashHostAndOrder(host: string, orderId: string): string {
  return createHash('sha1').update(`${host}\n${orderId}`).digest('hex');
}
