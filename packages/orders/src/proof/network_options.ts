/** Delay, loss and duplication of messages in a simulated network. */
export interface NetworkOptions {
  /** Usual maximum one-way delay in milliseconds; a few messages exceed it. */
  readonly delayMaxMs?: number;
  /** Percentage of messages that are lost. */
  readonly lossPercent?: number;
  /** Percentage of messages that are sent twice. */
  readonly duplicatePercent?: number;
}
