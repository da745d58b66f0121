import type {HomePositions} from './home_positions.js';
import type {Lane} from './lane.js';

/** What one decision goes by. */
export interface Scoring {
  readonly classIndex: number;
  /** Positions of the request's class. */
  readonly lane: Lane;
  /** Positions to weigh. */
  readonly positions: Lane;
  /** Tokens of the prompt cached, by engine. */
  readonly cached: ReadonlyMap<string, number>;
  readonly homes: HomePositions;
  /** Tokens that peers are expected to have sent other engines since a report. */
  readonly awayTokens: number;
}
