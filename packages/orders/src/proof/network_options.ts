/** How a simulated network treats messages. */
export interface NetworkOptions {
  /** Longest one-way delay of a message, in milliseconds. */
  readonly delayMaxMs?: number;
  /** Messages lost, of a hundred. */
  readonly lossPercent?: number;
  /** Messages delivered twice, of a hundred. */
  readonly duplicatePercent?: number;
}
