import type {Engine} from './engine.js';
import {LoadTable} from './load_table.js';
import type {PrefillRate} from './prefill_rate.js';
import {Shortlist} from './shortlist.js';

const MIN_CHUNK_TOKENS = 256;
const REPORT_AGE_WEIGHT = 0.05;

/** The engines of one model, in rendezvous order. */
export class ModelEngines {
  readonly table: LoadTable;
  readonly shortlist: Shortlist;
  /** Memory of the largest engine, in tokens. */
  readonly maxMemoryTokens: number;
  /** Memory of the smallest engine, in tokens. */
  readonly minMemoryTokens: number;
  /**
   * Moving average of the age of a load report when the next one replaces it,
   * in milliseconds.
   */
  private meanReplacedAgeMs = 0;

  constructor(
    readonly engines: readonly Engine[],
    readonly rate: PrefillRate,
    private readonly chunkMs: number,
    classCount: number,
    nowMs: number,
  ) {
    this.table = new LoadTable(engines.length, classCount);
    this.shortlist = new Shortlist(engines.length);
    const memories = engines.map(engine => engine.upstream.memoryTokens);
    this.maxMemoryTokens = Math.max(0, ...memories);
    this.minMemoryTokens = Math.min(Infinity, ...memories);
    engines.forEach((engine, position) => {
      engine.position = position;
      this.updateLoad(engine, nowMs);
    });
  }

  /**
   * Expected age of a load report now: half of its age when it is replaced, in
   * milliseconds.
   */
  get reportAgeMs(): number {
    return this.meanReplacedAgeMs / 2;
  }

  /** Prefill chunk size for the engines of the model, in prompt tokens. */
  get chunkTokens(): number {
    const tokens = Math.round(this.rate.tokensPerMs * this.chunkMs);
    return Math.max(MIN_CHUNK_TOKENS, tokens);
  }

  observeReportAge(ageMs: number): void {
    this.meanReplacedAgeMs +=
      REPORT_AGE_WEIGHT * (ageMs - this.meanReplacedAgeMs);
  }

  /** Writes the current load of an engine to the table. */
  updateLoad(engine: Engine, nowMs: number): void {
    const {upstream, load, position, avoidedUntilMs} = engine;
    const blockedUntilMs = upstream.leaving ? Infinity : avoidedUntilMs;
    // On average, a shorter prompt waits for half a chunk of a longer one.
    const longerWaitTokens = this.chunkTokens / 2;
    const row = load.toRow(
      upstream.memoryTokens,
      blockedUntilMs,
      longerWaitTokens,
    );
    this.table.setRow(position, row, this.rate.tokensPerMs, nowMs);
  }
}
