import type {Lane} from './lane.js';
import type {LoadRow} from './load_row.js';

/** Number of rows that are refreshed together. */
const BLOCK_ROWS = 128;
/**
 * Minimum time between two refreshes of a block, which let queues shrink as
 * engines prefill.
 */
const REFRESH_INTERVAL_MS = 5;

/**
 * Expected wait at each engine of a model by length class, precomputed for fast
 * scoring.
 */
export class LoadTable {
  /** Free KV memory by engine position, in tokens. */
  readonly freeTokens: Float64Array;
  private readonly rows: LoadRow[] = [];
  private readonly waitsByClass: readonly Float64Array[];
  /** Monotonic time of the last refresh, by class and block. */
  private readonly refreshedAtMs: readonly Float64Array[];

  constructor(
    private readonly size: number,
    classCount: number,
  ) {
    this.freeTokens = new Float64Array(size);
    this.waitsByClass = Array.from(
      {length: classCount},
      () => new Float64Array(size),
    );
    const blocks = Math.ceil(size / BLOCK_ROWS);
    this.refreshedAtMs = this.waitsByClass.map(() =>
      new Float64Array(blocks).fill(-Infinity),
    );
  }

  /** Replaces the row of one engine and recomputes its waits immediately. */
  setRow(position: number, row: LoadRow, tokensPerMs: number, nowMs: number) {
    this.rows[position] = row;
    this.freeTokens[position] = row.freeTokens;
    this.waitsByClass.forEach((waits, classIndex) => {
      waits[position] = computeWaitTokens(row, classIndex, tokensPerMs, nowMs);
    });
  }

  /**
   * Returns the prompt tokens ahead of a new request of the class, by engine;
   * Infinity for an engine that gets no new requests. Only the values at
   * `positions` are guaranteed to be up to date.
   */
  getWaitTokens(
    classIndex: number,
    positions: Lane,
    tokensPerMs: number,
    nowMs: number,
  ): Float64Array {
    const waits = this.waitsByClass[classIndex] ?? this.freeTokens;
    const refreshed = this.refreshedAtMs[classIndex];
    if (!refreshed) return waits;
    const first = Math.floor(positions.start / BLOCK_ROWS);
    for (let block = first; block * BLOCK_ROWS < positions.end; block++) {
      if (nowMs - (refreshed[block] ?? nowMs) < REFRESH_INTERVAL_MS) continue;
      refreshed[block] = nowMs;
      const end = Math.min(this.size, (block + 1) * BLOCK_ROWS);
      for (let position = block * BLOCK_ROWS; position < end; position++) {
        const row = this.rows[position];
        if (!row) continue;
        waits[position] = computeWaitTokens(
          row,
          classIndex,
          tokensPerMs,
          nowMs,
        );
      }
    }
    return waits;
  }
}

function computeWaitTokens(
  row: LoadRow,
  classIndex: number,
  tokensPerMs: number,
  nowMs: number,
): number {
  if (nowMs < row.blockedUntilMs) return Infinity;
  const drainedTokens = (nowMs - row.reportedAtMs) * tokensPerMs;
  const remainingTokens = Math.min(
    row.reportedTokens - drainedTokens,
    row.maxRemainingTokens,
  );
  let queueWaitTokens = Math.max(remainingTokens, row.minRemainingTokens);
  if (row.longestClassIndex > classIndex) {
    queueWaitTokens = Math.min(queueWaitTokens, row.longerWaitTokens);
  }
  return queueWaitTokens + (row.baseWaitTokens[classIndex] ?? 0);
}
