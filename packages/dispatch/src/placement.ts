import type {PlacementPart} from './placement_part.js';

/** One attempt that a host has sent. */
export interface Placement {
  /** Names the attempt among all hosts. */
  readonly id: string;
  /** Host that sent it. */
  readonly host: string;
  /** Id of the upstream that answers. */
  readonly upstream: string;
  readonly promptTokens: number;
  /** Tokens that the answer is expected to have. */
  readonly answerTokens: number;
  /** Time left to the objective of the first event when it was sent. */
  readonly objectiveMs: number;
  /** Longest pause between events that is in time, in milliseconds. */
  readonly pauseObjectiveMs: number;
  /** What each engine reads, the answering one first; one for a plain call. */
  readonly parts: readonly PlacementPart[];
}
