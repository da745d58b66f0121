import type {EngineMemory} from './engine_memory.js';
import type {EngineStream} from './engine_stream.js';
import type {EngineSubmission} from './engine_submission.js';
import type {PrefixCache} from './prefix_cache.js';

/** Memory of the streams of one engine. */
export class StreamMemory {
  constructor(
    private readonly blockTokens: number,
    private readonly memory: EngineMemory,
    private readonly cache: PrefixCache,
  ) {}

  /** Tokens of prompt and answer that this engine itself has to hold. */
  countLocalTokens(submission: EngineSubmission): number {
    const {promptTokens, answerTokens, remoteTokens = 0} = submission;
    return Math.max(0, promptTokens + answerTokens - remoteTokens);
  }

  /** Takes the memory of the whole stream; false without room. */
  allocate(stream: EngineStream): boolean {
    const {attempt, blocks, reservation = ''} = stream.submission;
    const reserved = this.memory.claim(reservation, attempt);
    const needed = this.countLocalTokens(stream.submission) - reserved;
    const matched = this.cache.match(blocks);
    for (const hash of blocks.slice(0, matched)) this.cache.pin(hash);
    stream.pinnedBlocks = matched;
    const cachedTokens = matched * this.blockTokens;
    const privateTokens = Math.max(0, needed - cachedTokens);
    if (!this.memory.take(privateTokens)) {
      this.unpin(stream);
      this.memory.unclaim(reservation, attempt);
      return false;
    }
    stream.privateTokens = privateTokens;
    stream.cachedTokens = cachedTokens;
    // The last token is always computed, for its successor depends on it.
    stream.prefillLeft = Math.max(1, stream.prefillLeft - cachedTokens);
    return true;
  }

  /** Moves the blocks computed so far to the prefix cache. */
  storeBlocks(stream: EngineStream): void {
    const {blocks, promptTokens, resumeFrom} = stream.submission;
    const computed = promptTokens + resumeFrom - stream.prefillLeft;
    const full = Math.floor(computed / this.blockTokens);
    for (const hash of blocks.slice(stream.pinnedBlocks, full)) {
      if (stream.privateTokens < this.blockTokens) return;
      this.cache.pin(hash);
      this.memory.give(this.blockTokens);
      stream.privateTokens -= this.blockTokens;
      stream.pinnedBlocks++;
    }
  }

  /** Returns all memory of a stream but what it leaves in the cache. */
  release(stream: EngineStream, nowMs: number): void {
    const {attempt, reservation} = stream.submission;
    this.unpin(stream);
    this.memory.give(stream.privateTokens);
    stream.privateTokens = 0;
    if (reservation) this.memory.endUse(reservation, attempt, nowMs);
  }

  /** Holds a copy of the computed blocks; false without room. */
  exportBlocks(stream: EngineStream): boolean {
    const {attempt: id, blocks, owner} = stream.submission;
    const computed = blocks.slice(0, stream.pinnedBlocks);
    const tokens = computed.length * this.blockTokens;
    return this.memory.addExport({id, owner, tokens, blocks: computed});
  }

  /** Stores blocks computed elsewhere; false without room. */
  importBlocks(blocks: readonly string[]): boolean {
    const missing = blocks.slice(this.cache.match(blocks));
    if (!this.memory.makeRoom(missing.length * this.blockTokens)) return false;
    for (const hash of missing.reverse()) this.cache.store(hash);
    return true;
  }

  /** Lets the deepest blocks go first, for a block needs those before it. */
  private unpin(stream: EngineStream): void {
    const held = stream.submission.blocks.slice(0, stream.pinnedBlocks);
    for (const hash of held.reverse()) this.cache.unpin(hash);
    stream.pinnedBlocks = 0;
  }
}
