import type {PromptPrefix} from './prompt_prefix.js';

/**
 * Time for which a stored prefix counts as cached unless the engine reports its
 * removal.
 */
const ENTRY_EXPIRY_MS = 300_000;
/**
 * Time after a gap in the events at which the entries from before it expire.
 */
const GAP_EXPIRY_MS = 15_000;
const MAX_PREFIXES = 100_000;
const MAX_ENGINES_PER_PREFIX = 16;

interface EngineCacheState {
  incarnation: string;
  sequence: number;
  generation: number;
  lastGapAtMs: number;
}

interface CacheEntry {
  readonly storedAtMs: number;
  readonly generation: number;
}

/**
 * Estimates which engine has which prefix in its cache, from events that can be
 * delayed or lost.
 */
export class CacheIndex {
  private readonly engines = new Map<string, EngineCacheState>();
  /** Entries by prefix hash and engine; least recently stored prefix first. */
  private readonly prefixes = new Map<string, Map<string, CacheEntry>>();

  /**
   * Applies a cache event of an engine; duplicates and outdated events are
   * ignored.
   */
  applyEvent(
    engine: string,
    event: {
      readonly incarnation: string;
      readonly sequence: number;
      readonly stored: readonly string[];
      readonly removed: readonly string[];
      readonly cleared: boolean;
    },
    nowMs: number,
  ): void {
    const cache = this.getCacheState(engine);
    if (cache.incarnation !== event.incarnation) {
      if (cache.incarnation !== '') this.clearEngine(engine);
      cache.incarnation = event.incarnation;
      cache.sequence = event.sequence;
    } else if (event.sequence <= cache.sequence) {
      return;
    } else if (event.sequence > cache.sequence + 1) {
      cache.lastGapAtMs = nowMs;
    }
    cache.sequence = event.sequence;
    if (event.cleared) this.clearEngine(engine);
    for (const hash of event.removed) this.prefixes.get(hash)?.delete(engine);
    for (const hash of event.stored) this.store(engine, hash, nowMs);
  }

  /** Records that an engine has prefilled a prompt with these prefixes. */
  recordPrefill(
    engine: string,
    prefixes: readonly PromptPrefix[],
    nowMs: number,
  ): void {
    for (const {hash} of prefixes) this.store(engine, hash, nowMs);
  }

  /** Invalidates all entries of an engine. */
  clearEngine(engine: string): void {
    this.getCacheState(engine).generation++;
  }

  /**
   * Tokens of the longest cached prefix, by engine; engines without one are
   * absent.
   */
  findCachedTokens(
    prefixes: readonly PromptPrefix[],
    nowMs: number,
  ): Map<string, number> {
    const found = new Map<string, number>();
    for (let index = prefixes.length - 1; index >= 0; index--) {
      const prefix = prefixes[index];
      const entries = prefix && this.prefixes.get(prefix.hash);
      if (!prefix || !entries) continue;
      for (const [engine, entry] of entries) {
        if (found.has(engine)) continue;
        if (this.isValid(engine, entry, nowMs)) {
          found.set(engine, prefix.tokens);
        } else entries.delete(engine);
      }
    }
    return found;
  }

  private isValid(engine: string, entry: CacheEntry, nowMs: number): boolean {
    const cache = this.getCacheState(engine);
    if (entry.generation !== cache.generation) return false;
    if (nowMs - entry.storedAtMs > ENTRY_EXPIRY_MS) return false;
    const isBeforeGap = entry.storedAtMs < cache.lastGapAtMs;
    return !isBeforeGap || nowMs - cache.lastGapAtMs <= GAP_EXPIRY_MS;
  }

  private store(engine: string, hash: string, nowMs: number): void {
    const entries = this.prefixes.get(hash) ?? new Map<string, CacheEntry>();
    const {generation} = this.getCacheState(engine);
    entries.delete(engine);
    entries.set(engine, {storedAtMs: nowMs, generation});
    if (entries.size > MAX_ENGINES_PER_PREFIX) dropOldest(entries);
    this.prefixes.delete(hash);
    this.prefixes.set(hash, entries);
    if (this.prefixes.size > MAX_PREFIXES) dropOldest(this.prefixes);
  }

  private getCacheState(engine: string): EngineCacheState {
    let cache = this.engines.get(engine);
    if (!cache) {
      cache = {
        incarnation: '',
        sequence: 0,
        generation: 0,
        lastGapAtMs: -Infinity,
      };
      this.engines.set(engine, cache);
    }
    return cache;
  }
}

function dropOldest(entries: Map<string, unknown>): void {
  for (const oldest of entries.keys()) {
    entries.delete(oldest);
    return;
  }
}
