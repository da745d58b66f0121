import type {Lane} from './lane.js';
import type {ModelEngines} from './model_engines.js';
import type {RoutedRequest} from './routed_request.js';
import type {ScoringContext} from './scoring_context.js';

/**
 * Score penalty for an engine outside the lane of the class, in prompt tokens.
 */
const OUTSIDE_LANE_TOKENS = 64;
/**
 * Score penalty for an engine without enough free KV memory, in prompt tokens.
 */
const NO_MEMORY_TOKENS = 1_000_000;

/**
 * Scores the engines of a model for one request by the expected wait, in prompt
 * tokens.
 */
export class EngineScorer {
  /** @param findPosition Returns the position of an engine by name. */
  constructor(
    private readonly findPosition: (name: string) => number | undefined,
  ) {}

  /**
   * Fills the shortlist of the model with the candidates and with the engines
   * that have a prefix of the prompt in their cache.
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

  /**
   * Returns the index of an engine in the shortlist, after adding it if it is
   * missing.
   */
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

  /**
   * Sets the score of engines that the request cannot or must not run on to
   * Infinity.
   */
  private excludeUnusable(
    model: ModelEngines,
    request: RoutedRequest,
    needTokens: number,
  ): void {
    const isLarge = needTokens > model.minMemoryTokens;
    if (!isLarge && request.excludedUpstreams.length === 0) return;
    const {shortlist, engines} = model;
    shortlist.lowestScore = Infinity;
    for (let index = 0; index < shortlist.count; index++) {
      const upstream = engines[shortlist.positions[index] ?? 0]?.upstream;
      const isExcluded =
        !upstream ||
        upstream.memoryTokens < needTokens ||
        request.excludedUpstreams.includes(upstream.name);
      if (isExcluded) shortlist.scores[index] = Infinity;
      const score = shortlist.scores[index] ?? Infinity;
      shortlist.lowestScore = Math.min(shortlist.lowestScore, score);
    }
  }
}
