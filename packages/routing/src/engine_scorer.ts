import type {Lane} from './lane.js';
import type {ModelEngines} from './model_engines.js';
import type {RoutedRequest} from './routed_request.js';
import type {ScoringContext} from './scoring_context.js';

/** Wait, in prompt tokens, that choosing another class's engine must save. */
const OUTSIDE_LANE_TOKENS = 64;
/** Wait, in prompt tokens, for memory to come free. */
const NO_MEMORY_TOKENS = 1_000_000;

/** Scores engines of a model for one request: tokens to prefill before its own. */
export class EngineScorer {
  /** @param findPosition Position of an engine of the model by name. */
  constructor(
    private readonly findPosition: (name: string) => number | undefined,
  ) {}

  /**
   * Fills the model's shortlist with the engines at the positions given and
   * with those that hold a prefix of the prompt.
   */
  score(
    model: ModelEngines,
    request: RoutedRequest,
    context: ScoringContext,
    nowMs: number,
  ): void {
    const {classIndex, lane, candidates, cachedTokensByEngine} = context;
    const {table, rate, shortlist} = model;
    const {tokensPerMs} = rate;
    const waits = table.getWaitTokens(
      classIndex,
      candidates,
      tokensPerMs,
      nowMs,
    );
    const needTokens = request.promptTokens + request.answerTokens;
    this.scoreCandidates(model, waits, needTokens, context);
    for (const [name, tokens] of cachedTokensByEngine) {
      const position = this.findPosition(name);
      if (position === undefined || position < lane.start) continue;
      const index = this.findOrAddIndex(
        model,
        waits,
        needTokens,
        candidates,
        position,
      );
      const score = (shortlist.scores[index] ?? Infinity) - tokens;
      shortlist.scores[index] = score;
      shortlist.lowestScore = Math.min(shortlist.lowestScore, score);
    }
    this.excludeUnusable(model, request, needTokens);
  }

  private scoreCandidates(
    model: ModelEngines,
    waits: Float64Array,
    needTokens: number,
    {lane, candidates, preferred, penaltyTokens}: ScoringContext,
  ): void {
    const {positions, scores} = model.shortlist;
    const {freeTokens} = model.table;
    let lowestScore = Infinity;
    let count = 0;
    for (
      let position = candidates.start;
      position < candidates.end;
      position++
    ) {
      let score = waits[position] ?? Infinity;
      if ((freeTokens[position] ?? 0) < needTokens) score += NO_MEMORY_TOKENS;
      if (position >= lane.end) score += OUTSIDE_LANE_TOKENS;
      if (position % preferred.count !== preferred.rank) score += penaltyTokens;
      if (score < lowestScore) lowestScore = score;
      positions[count] = position;
      scores[count++] = score;
    }
    model.shortlist.count = count;
    model.shortlist.lowestScore = lowestScore;
  }

  /** Index of an engine in the shortlist; adds it where it is not in it. */
  private findOrAddIndex(
    model: ModelEngines,
    waits: Float64Array,
    needTokens: number,
    candidates: Lane,
    position: number,
  ): number {
    if (position >= candidates.start && position < candidates.end) {
      return position - candidates.start;
    }
    const {shortlist, table} = model;
    const index = shortlist.count++;
    const isFull = (table.freeTokens[position] ?? 0) < needTokens;
    shortlist.positions[index] = position;
    shortlist.scores[index] =
      (waits[position] ?? Infinity) + (isFull ? NO_MEMORY_TOKENS : 0);
    return index;
  }

  /** Leaves out the engines that the request must not or cannot run on. */
  private excludeUnusable(
    model: ModelEngines,
    request: RoutedRequest,
    needTokens: number,
  ): void {
    const isLarge = needTokens > model.minMemoryTokens;
    if (!isLarge && request.avoid.length === 0) return;
    const {shortlist, engines} = model;
    shortlist.lowestScore = Infinity;
    for (let index = 0; index < shortlist.count; index++) {
      const upstream = engines[shortlist.positions[index] ?? 0]?.upstream;
      const isExcluded =
        !upstream ||
        upstream.memoryTokens < needTokens ||
        request.avoid.includes(upstream.name);
      if (isExcluded) shortlist.scores[index] = Infinity;
      const score = shortlist.scores[index] ?? Infinity;
      shortlist.lowestScore = Math.min(shortlist.lowestScore, score);
    }
  }
}
