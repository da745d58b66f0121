import {CacheEventKind} from './cache_event_kind.js';

/** Cached prompt blocks; those that no stream holds are evicted oldest first. */
export class PrefixCache {
  private readonly holders = new Map<string, number>();
  private readonly idle = new Set<string>();

  /**
   * @param notify Told of each block stored or evicted.
   */
  constructor(
    private readonly notify: (kind: CacheEventKind, hash: string) => void,
  ) {}

  /** Number of cached blocks. */
  get size(): number {
    return this.holders.size;
  }

  /** Number of blocks that can be evicted. */
  get idleSize(): number {
    return this.idle.size;
  }

  /** Counts the leading blocks that are cached. */
  match(blocks: readonly string[]): number {
    let count = 0;
    for (const hash of blocks) {
      if (!this.holders.has(hash)) break;
      count++;
    }
    return count;
  }

  /** Holds a block, storing it first where it is missing. */
  pin(hash: string): void {
    const holders = this.holders.get(hash);
    if (holders === undefined) this.notify(CacheEventKind.STORED, hash);
    this.holders.set(hash, (holders ?? 0) + 1);
    this.idle.delete(hash);
  }

  /** Stores a block that nobody holds. */
  store(hash: string): void {
    this.pin(hash);
    this.unpin(hash);
  }

  /** Lets a block go; it stays cached until evicted. */
  unpin(hash: string): void {
    const holders = (this.holders.get(hash) ?? 1) - 1;
    this.holders.set(hash, holders);
    if (holders === 0) this.idle.add(hash);
  }

  /** Evicts the block that was let go first. */
  evictOldest(): void {
    const [oldest] = this.idle;
    if (oldest === undefined) return;
    this.idle.delete(oldest);
    this.holders.delete(oldest);
    this.notify(CacheEventKind.EVICTED, oldest);
  }
}
