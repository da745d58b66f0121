import type {PreferredPositions} from './preferred_positions.js';
import type {Lane} from './lane.js';

/** What one decision goes by. */
export interface ScoringContext {
  readonly classIndex: number;
  /** Positions of the request's class. */
  readonly lane: Lane;
  /** Positions to weigh. */
  readonly candidates: Lane;
  /** Tokens of the prompt cached, by engine. */
  readonly cachedTokensByEngine: ReadonlyMap<string, number>;
  readonly preferred: PreferredPositions;
  /** Tokens that peers are expected to have sent other engines since a report. */
  readonly penaltyTokens: number;
}
