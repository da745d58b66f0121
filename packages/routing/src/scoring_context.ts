import type {Lane} from './lane.js';
import type {PreferredPositions} from './preferred_positions.js';

/** Inputs for scoring the engines for one request. */
export interface ScoringContext {
  readonly classIndex: number;
  /** Lane of the length class of the request. */
  readonly lane: Lane;
  /** Positions to score. */
  readonly candidates: Lane;
  /** Prompt tokens in the cache, by engine; engines without any are absent. */
  readonly cachedTokensByEngine: ReadonlyMap<string, number>;
  readonly preferred: PreferredPositions;
  /**
   * Tokens that the peers are expected to have sent to each engine since its
   * last report; added to the score of engines that this host does not prefer.
   */
  readonly penaltyTokens: number;
}
