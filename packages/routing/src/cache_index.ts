import type {PrefixMark} from './prefix_mark.js';

/** How long a prefix counts as cached unless the engine says otherwise. */
const ENTRY_EXPIRY_MS = 300_000;
/** How long a prefix stored before a gap in the events counts as cached. */
const GAP_EXPIRY_MS = 15_000;
const MAX_PREFIXES = 100_000;
const MAX_HOLDERS = 16;

interface EngineCache {
  incarnation: string;
  sequence: number;
  generation: number;
  gapAtMs: number;
}

interface Entry {
  readonly storedMs: number;
  readonly generation: number;
}

/** Which engine holds which prefix, from late events with gaps. */
export class CacheIndex {
  private readonly engines = new Map<string, EngineCache>();
  /** Engines by prefix; least recently stored prefix first. */
  private readonly holders = new Map<string, Map<string, Entry>>();

  /** Takes one event of an engine's cache. */
  takeEvent(
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
    const cache = this.cacheOf(engine);
    if (cache.incarnation !== event.incarnation) {
      if (cache.incarnation !== '') this.clear(engine);
      cache.incarnation = event.incarnation;
      cache.sequence = event.sequence;
    } else if (event.sequence <= cache.sequence) {
      return;
    } else if (event.sequence > cache.sequence + 1) {
      cache.gapAtMs = nowMs;
    }
    cache.sequence = event.sequence;
    if (event.cleared) this.clear(engine);
    for (const hash of event.removed) this.holders.get(hash)?.delete(engine);
    for (const hash of event.stored) this.store(engine, hash, nowMs);
  }

  /** Notes that an engine has prefilled a prompt with the prefixes. */
  takePrefill(
    engine: string,
    prefixes: readonly PrefixMark[],
    nowMs: number,
  ): void {
    for (const {hash} of prefixes) this.store(engine, hash, nowMs);
  }

  /** Forgets all that an engine holds. */
  clear(engine: string): void {
    this.cacheOf(engine).generation++;
  }

  /** Tokens of the longest cached prefix by engine; absent ones hold none. */
  find(prefixes: readonly PrefixMark[], nowMs: number): Map<string, number> {
    const found = new Map<string, number>();
    for (let index = prefixes.length - 1; index >= 0; index--) {
      const prefix = prefixes[index];
      const entries = prefix && this.holders.get(prefix.hash);
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

  private isValid(engine: string, entry: Entry, nowMs: number): boolean {
    const cache = this.cacheOf(engine);
    if (entry.generation !== cache.generation) return false;
    if (nowMs - entry.storedMs > ENTRY_EXPIRY_MS) return false;
    const beforeGap = entry.storedMs < cache.gapAtMs;
    return !beforeGap || nowMs - cache.gapAtMs <= GAP_EXPIRY_MS;
  }

  private store(engine: string, hash: string, nowMs: number): void {
    const entries = this.holders.get(hash) ?? new Map<string, Entry>();
    const {generation} = this.cacheOf(engine);
    entries.delete(engine);
    entries.set(engine, {storedMs: nowMs, generation});
    if (entries.size > MAX_HOLDERS) dropOldest(entries);
    this.holders.delete(hash);
    this.holders.set(hash, entries);
    if (this.holders.size > MAX_PREFIXES) dropOldest(this.holders);
  }

  private cacheOf(engine: string): EngineCache {
    let cache = this.engines.get(engine);
    if (!cache) {
      cache = {incarnation: '', sequence: 0, generation: 0, gapAtMs: -Infinity};
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
