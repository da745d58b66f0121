/** A request that engines read and one of them answers. */
export interface EngineJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly answerTokens: number;
  writtenTokens: number;
  /** Parts that are not read yet. */
  unreadParts: number;
  isOver: boolean;
  /** Told of each event; of the last one before onEnd. */
  readonly onEvent: () => void;
  /** @param isWhole False when an engine crashed under it. */
  readonly onEnd: (isWhole: boolean) => void;
}
