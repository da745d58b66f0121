import type {Lane} from './lane.js';
import type {ModelEngines} from './model_engines.js';
import type {RoutedRequest} from './routed_request.js';
import type {Scoring} from './scoring.js';

/** Wait, in prompt tokens, that choosing another class's engine must save. */
const OUTSIDE_LANE_TOKENS = 64;
/** Wait, in prompt tokens, for memory to come free. */
const NO_MEMORY_TOKENS = 1_000_000;

/** Scores engines of a model for one request: tokens to prefill before its own. */
export class EngineScorer {
  /** @param positionOf Position of an engine of the model by name. */
  constructor(
    private readonly positionOf: (name: string) => number | undefined,
  ) {}

  /**
   * Fills the model's shortlist with the engines at the positions given and
   * with those that hold a prefix of the prompt.
   */
  score(
    model: ModelEngines,
    request: RoutedRequest,
    scoring: Scoring,
    nowMs: number,
  ): void {
    const {classIndex, lane, positions, cached} = scoring;
    const {table, rate, shortlist} = model;
    const {tokensPerMs} = rate;
    const waits = table.waitTokens(classIndex, positions, tokensPerMs, nowMs);
    const needTokens = request.promptTokens + request.answerTokens;
    this.scorePositions(model, waits, needTokens, scoring);
    for (const [name, tokens] of cached) {
      const row = this.positionOf(name);
      if (row === undefined || row < lane.start) continue;
      const index = this.include(model, waits, needTokens, positions, row);
      const score = (shortlist.scores[index] ?? Infinity) - tokens;
      shortlist.scores[index] = score;
      shortlist.lowest = Math.min(shortlist.lowest, score);
    }
    this.leaveOut(model, request, needTokens);
  }

  private scorePositions(
    model: ModelEngines,
    waits: Float64Array,
    needTokens: number,
    {lane, positions, homes, awayTokens}: Scoring,
  ): void {
    const {rows, scores} = model.shortlist;
    const {freeTokens} = model.table;
    let lowest = Infinity;
    let count = 0;
    for (let row = positions.start; row < positions.end; row++) {
      let score = waits[row] ?? Infinity;
      if ((freeTokens[row] ?? 0) < needTokens) score += NO_MEMORY_TOKENS;
      if (row >= lane.end) score += OUTSIDE_LANE_TOKENS;
      if (row % homes.count !== homes.rank) score += awayTokens;
      if (score < lowest) lowest = score;
      rows[count] = row;
      scores[count++] = score;
    }
    model.shortlist.count = count;
    model.shortlist.lowest = lowest;
  }

  /** Index of an engine in the shortlist; adds it where it is not in it. */
  private include(
    model: ModelEngines,
    waits: Float64Array,
    needTokens: number,
    positions: Lane,
    row: number,
  ): number {
    if (row >= positions.start && row < positions.end) {
      return row - positions.start;
    }
    const {shortlist, table} = model;
    const index = shortlist.count++;
    const isFull = (table.freeTokens[row] ?? 0) < needTokens;
    shortlist.rows[index] = row;
    shortlist.scores[index] =
      (waits[row] ?? Infinity) + (isFull ? NO_MEMORY_TOKENS : 0);
    return index;
  }

  /** Leaves out the engines that the request must not or cannot run on. */
  private leaveOut(
    model: ModelEngines,
    request: RoutedRequest,
    needTokens: number,
  ): void {
    const isLarge = needTokens > model.minMemoryTokens;
    if (!isLarge && request.avoid.length === 0) return;
    const {shortlist, engines} = model;
    shortlist.lowest = Infinity;
    for (let index = 0; index < shortlist.count; index++) {
      const upstream = engines[shortlist.rows[index] ?? 0]?.upstream;
      const isOut =
        !upstream ||
        upstream.memoryTokens < needTokens ||
        request.avoid.includes(upstream.name);
      if (isOut) shortlist.scores[index] = Infinity;
      const score = shortlist.scores[index] ?? Infinity;
      shortlist.lowest = Math.min(shortlist.lowest, score);
    }
  }
}
