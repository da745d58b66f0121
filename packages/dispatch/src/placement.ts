import type {PlacementPart} from './placement_part.js';

/** An attempt that a host has assigned to upstreams and sent. */
export interface Placement {
  /** Id of the attempt, unique among all hosts. */
  readonly id: string;
  /** Host that sent it. */
  readonly host: string;
  /** Id of the upstream that answers. */
  readonly upstream: string;
  readonly promptTokens: number;
  /** Estimated length of the answer, in tokens. */
  readonly answerTokens: number;
  /** Time left to the first-event objective at sending, in milliseconds. */
  readonly objectiveMs: number;
  /** Longest pause between events that meets the objective, in milliseconds. */
  readonly pauseObjectiveMs: number;
  /** Prefill work per engine, the answering one first; one part for a plain call. */
  readonly parts: readonly PlacementPart[];
  /**
   * Fingerprint of the request if it is suspected of crashing upstreams; empty
   * or absent if it is not.
   */
  readonly suspect?: string;
}
