import TinyQueue from 'tinyqueue';

import type {QueuedRequest} from './queued_request.js';

/** Stale heap entries or finish tags that are tolerated before a clean-up. */
const MAX_STALE = 64;

interface HeapEntry {
  readonly startTag: number;
  readonly queued: QueuedRequest;
}

interface AccountQueue {
  readonly queued: QueuedRequest[];
  readonly weight: number;
  tokens: number;
}

/**
 * Queue by start-time fair queuing: each account gets tokens in proportion to its
 * weight.
 */
export class FairQueue {
  private heap = createHeap([]);
  private readonly accounts = new Map<string, AccountQueue>();
  /** Virtual finish time of the last request of each account. */
  private readonly finishTags = new Map<string, number>();
  private virtualTime = 0;
  private count = 0;

  get size(): number {
    return this.count;
  }

  push(queued: QueuedRequest, weight: number): void {
    const {account, tokens} = queued.request;
    const accountQueue =
      this.accounts.get(account) ?? this.addAccount(account, weight);
    const finishTag = this.finishTags.get(account) ?? 0;
    const startTag = Math.max(this.virtualTime, finishTag);
    this.finishTags.set(account, startTag + tokens / accountQueue.weight);
    accountQueue.queued.push(queued);
    accountQueue.tokens += tokens;
    this.count++;
    this.heap.push({startTag, queued});
  }

  /** Returns the request with the lowest start tag and leaves it in the queue. */
  peek(): QueuedRequest | undefined {
    while (this.heap.peek()?.queued.isDequeued) this.heap.pop();
    return this.heap.peek()?.queued;
  }

  /** Removes the request with the lowest start tag and advances virtual time to it. */
  pop(): QueuedRequest | undefined {
    const next = this.peek();
    if (!next) return undefined;
    this.virtualTime = this.heap.pop()?.startTag ?? this.virtualTime;
    this.markDequeued(next);
    return next;
  }

  /** Removes a request that will not be served, without charging its account. */
  remove(queued: QueuedRequest): void {
    if (queued.isDequeued) return;
    const {account, tokens} = queued.request;
    const weight = this.accounts.get(account)?.weight ?? 1;
    const finishTag = this.finishTags.get(account) ?? 0;
    this.finishTags.set(account, finishTag - tokens / weight);
    this.markDequeued(queued);
    if (this.heap.length <= 2 * this.count + MAX_STALE) return;
    this.heap = createHeap(
      this.heap.data.filter(({queued}) => !queued.isDequeued),
    );
  }

  /** Finds the newest request of the account with the most queued tokens per weight. */
  findEvictionCandidate(): QueuedRequest | undefined {
    let largest: AccountQueue | undefined;
    for (const accountQueue of this.accounts.values()) {
      if (
        !largest ||
        accountQueue.tokens / accountQueue.weight >
          largest.tokens / largest.weight
      ) {
        largest = accountQueue;
      }
    }
    return largest?.queued[largest.queued.length - 1];
  }

  hasQueued(account: string): boolean {
    return this.accounts.has(account);
  }

  /** Estimates how many requests are served before a new one of the account. */
  countAhead(account: string, weight: number): number {
    const ownCount = this.accounts.get(account)?.queued.length ?? 0;
    let ahead = ownCount;
    for (const [other, {queued, weight: otherWeight}] of this.accounts) {
      if (other === account) continue;
      const maxBefore = (ownCount * otherWeight) / weight + 1;
      ahead += Math.min(queued.length, maxBefore);
    }
    return ahead;
  }

  private addAccount(account: string, weight: number): AccountQueue {
    const accountQueue = {queued: [], tokens: 0, weight};
    this.accounts.set(account, accountQueue);
    return accountQueue;
  }

  private markDequeued(queued: QueuedRequest): void {
    queued.isDequeued = true;
    this.count--;
    const {account, tokens} = queued.request;
    const accountQueue = this.accounts.get(account);
    if (!accountQueue) return;
    accountQueue.tokens -= tokens;
    const index = accountQueue.queued.indexOf(queued);
    if (index >= 0) accountQueue.queued.splice(index, 1);
    if (accountQueue.queued.length > 0) return;
    this.accounts.delete(account);
    this.evictPastTags();
  }

  private evictPastTags(): void {
    if (this.count === 0) {
      this.finishTags.clear();
      this.virtualTime = 0;
      return;
    }
    if (this.finishTags.size <= 2 * this.accounts.size + MAX_STALE) return;
    for (const [account, finishTag] of this.finishTags) {
      if (finishTag <= this.virtualTime) this.finishTags.delete(account);
    }
  }
}

function createHeap(items: HeapEntry[]): TinyQueue<HeapEntry> {
  return new TinyQueue(items, (a, b) => a.startTag - b.startTag);
}
