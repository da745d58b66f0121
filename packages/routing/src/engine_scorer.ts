import type {Lane} from './lane.js';
import type {ModelEngines} from './model_engines.js';
import type {RoutedRequest} from './routed_request.js';
import type {ScoredEngines} from './scored_engines.js';

/** Wait, in prompt tokens, that choosing another class's engine must save. */
const OUTSIDE_LANE_TOKENS = 256;
/** Wait, in prompt tokens, for memory to come free. */
const NO_MEMORY_TOKENS = 1_000_000;

/** Scores the engines of a model for one request: tokens until its first one. */
export class EngineScorer {
  /**
   * Writes a score for each engine into the model's table.
   *
   * @param lane Positions to use; shorter classes' ones are left out.
   * @param cached Tokens of the prompt cached, by engine.
   */
  score(
    model: ModelEngines,
    request: RoutedRequest,
    classIndex: number,
    lane: Lane,
    cached: ReadonlyMap<string, number>,
    nowMs: number,
  ): ScoredEngines {
    const {engines, scores} = model;
    const tokensPerMs = model.rate.tokensPerMs;
    const needTokens = request.promptTokens + request.answerTokens;
    const hasCached = cached.size > 0;
    let lowest = Infinity;
    let oldestMs = nowMs;
    for (let index = 0; index < engines.length; index++) {
      scores[index] = Infinity;
      const engine = engines[index];
      if (!engine || index < lane.start) continue;
      const {upstream, load} = engine;
      if (upstream.leaving || nowMs < engine.avoidedUntilMs) continue;
      if (needTokens > upstream.memoryTokens) continue;
      if (request.avoid.length > 0 && request.avoid.includes(upstream.name)) {
        continue;
      }
      let score =
        request.promptTokens + load.waitTokens(classIndex, tokensPerMs, nowMs);
      if (hasCached) score -= cached.get(upstream.name) ?? 0;
      if (index >= lane.end) score += OUTSIDE_LANE_TOKENS;
      if (load.usedTokens + needTokens > upstream.memoryTokens) {
        score += NO_MEMORY_TOKENS;
      }
      scores[index] = score;
      if (score < lowest) lowest = score;
      if (load.reportedAtMs < oldestMs) oldestMs = load.reportedAtMs;
    }
    return {lowest, reportedMs: oldestMs};
  }
}
