import TinyQueue from 'tinyqueue';

import type {QueuedOffer} from './queued_request.js';

/** Offers taken out of turn that may stay in the heap before it is rebuilt. */
const MAX_LEFT = 64;

interface Tagged {
  readonly startTag: number;
  readonly queued: QueuedOffer;
}

interface AccountQueue {
  readonly queued: QueuedOffer[];
  readonly share: number;
  tokens: number;
}

/** Start-time fair queue: accounts get tokens in proportion to their shares. */
export class FairQueue {
  private heap = createHeap([]);
  private readonly accounts = new Map<string, AccountQueue>();
  /** Virtual time at which the last offer of each account ends. */
  private readonly finishTags = new Map<string, number>();
  private virtualTime = 0;
  private count = 0;

  get size(): number {
    return this.count;
  }

  push(queued: QueuedOffer, share: number): void {
    const {account, tokens} = queued.offer;
    const own = this.accounts.get(account) ?? this.addAccount(account, share);
    const finishTag = this.finishTags.get(account) ?? 0;
    const startTag = Math.max(this.virtualTime, finishTag);
    this.finishTags.set(account, startTag + tokens / own.share);
    own.queued.push(queued);
    own.tokens += tokens;
    this.count++;
    this.heap.push({startTag, queued});
  }

  /** The offer whose turn it is. */
  peek(): QueuedOffer | undefined {
    while (this.heap.peek()?.queued.left) this.heap.pop();
    return this.heap.peek()?.queued;
  }

  /** Takes out the offer whose turn it is. */
  pop(): QueuedOffer | undefined {
    const next = this.peek();
    if (!next) return undefined;
    this.virtualTime = this.heap.pop()?.startTag ?? this.virtualTime;
    this.leave(next);
    return next;
  }

  /** Takes out an offer out of turn; its account does not pay for it. */
  remove(queued: QueuedOffer): void {
    if (queued.left) return;
    const {account, tokens} = queued.offer;
    const share = this.accounts.get(account)?.share ?? 1;
    const finishTag = this.finishTags.get(account) ?? 0;
    this.finishTags.set(account, finishTag - tokens / share);
    this.leave(queued);
    if (this.heap.length <= 2 * this.count + MAX_LEFT) return;
    this.heap = createHeap(this.heap.data.filter(({queued}) => !queued.left));
  }

  /** The newest offer of the account that holds most for its share. */
  findLargest(): QueuedOffer | undefined {
    let largest: AccountQueue | undefined;
    for (const own of this.accounts.values()) {
      if (!largest || own.tokens / own.share > largest.tokens / largest.share) {
        largest = own;
      }
    }
    return largest?.queued[largest.queued.length - 1];
  }

  hasQueued(account: string): boolean {
    return this.accounts.has(account);
  }

  /** Offers expected to be served before a new one of the account. */
  countAhead(account: string, share: number): number {
    const ownCount = this.accounts.get(account)?.queued.length ?? 0;
    let ahead = ownCount;
    for (const [other, {queued, share: otherShare}] of this.accounts) {
      if (other === account) continue;
      const before = (ownCount * otherShare) / share + 1;
      ahead += Math.min(queued.length, before);
    }
    return ahead;
  }

  private addAccount(account: string, share: number): AccountQueue {
    const own = {queued: [], tokens: 0, share};
    this.accounts.set(account, own);
    return own;
  }

  private leave(queued: QueuedOffer): void {
    queued.left = true;
    this.count--;
    const {account, tokens} = queued.offer;
    const own = this.accounts.get(account);
    if (!own) return;
    own.tokens -= tokens;
    const index = own.queued.indexOf(queued);
    if (index >= 0) own.queued.splice(index, 1);
    if (own.queued.length > 0) return;
    this.accounts.delete(account);
    this.forgetPastTags();
  }

  private forgetPastTags(): void {
    if (this.count === 0) {
      this.finishTags.clear();
      this.virtualTime = 0;
      return;
    }
    if (this.finishTags.size <= 2 * this.accounts.size + MAX_LEFT) return;
    for (const [account, finishTag] of this.finishTags) {
      if (finishTag <= this.virtualTime) this.finishTags.delete(account);
    }
  }
}

function createHeap(items: Tagged[]): TinyQueue<Tagged> {
  return new TinyQueue(items, (a, b) => a.startTag - b.startTag);
}
