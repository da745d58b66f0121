import type {Lane} from './lane.js';
import type {LoadRow} from './load_row.js';

/** Rows that are brought up to date together. */
const BLOCK_ROWS = 128;
/** How long a row is kept while its engine works its queue down. */
const KEEP_MS = 5;

/** Wait at the engines of one model by class, kept ready for quick scoring. */
export class LoadTable {
  /** Free KV memory by engine, in tokens. */
  readonly freeTokens: Float64Array;
  private readonly rows: LoadRow[] = [];
  private readonly waits: readonly Float64Array[];
  /** Monotonic time of the last refresh by class and block. */
  private readonly refreshedMs: readonly Float64Array[];

  constructor(
    private readonly size: number,
    classCount: number,
  ) {
    this.freeTokens = new Float64Array(size);
    this.waits = Array.from({length: classCount}, () => new Float64Array(size));
    const blocks = Math.ceil(size / BLOCK_ROWS);
    this.refreshedMs = this.waits.map(() =>
      new Float64Array(blocks).fill(-Infinity),
    );
  }

  /** Takes a change of one engine; it shows at once. */
  write(position: number, row: LoadRow, tokensPerMs: number, nowMs: number) {
    this.rows[position] = row;
    this.freeTokens[position] = row.freeTokens;
    this.waits.forEach((waits, classIndex) => {
      waits[position] = waitTokens(row, classIndex, tokensPerMs, nowMs);
    });
  }

  /**
   * Prompt tokens ahead of a new request of the class, by engine; Infinity where
   * the engine gets no new work. Up to date at the positions given.
   */
  waitTokens(
    classIndex: number,
    positions: Lane,
    tokensPerMs: number,
    nowMs: number,
  ): Float64Array {
    const waits = this.waits[classIndex] ?? this.freeTokens;
    const refreshed = this.refreshedMs[classIndex];
    if (!refreshed) return waits;
    const first = Math.floor(positions.start / BLOCK_ROWS);
    for (let block = first; block * BLOCK_ROWS < positions.end; block++) {
      if (nowMs - (refreshed[block] ?? nowMs) < KEEP_MS) continue;
      refreshed[block] = nowMs;
      const end = Math.min(this.size, (block + 1) * BLOCK_ROWS);
      for (let position = block * BLOCK_ROWS; position < end; position++) {
        const row = this.rows[position];
        if (!row) continue;
        waits[position] = waitTokens(row, classIndex, tokensPerMs, nowMs);
      }
    }
    return waits;
  }
}

function waitTokens(
  row: LoadRow,
  classIndex: number,
  tokensPerMs: number,
  nowMs: number,
): number {
  if (nowMs < row.blockedUntilMs) return Infinity;
  const drainedTokens = (nowMs - row.reportedAtMs) * tokensPerMs;
  const left = Math.min(row.reportedTokens - drainedTokens, row.mostTokens);
  let queued = Math.max(left, row.leastTokens);
  if (row.longestClass > classIndex) {
    queued = Math.min(queued, row.longerTokens);
  }
  return queued + (row.baseTokens[classIndex] ?? 0);
}
