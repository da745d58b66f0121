import type {FinishReason, Usage} from '@parsleywood/requests';

/**
 * Formats the answer to a completion request as JSON. There is one
 * implementation for each completion path.
 */
export interface CompletionFormatter {
  /** Data of the first event of a stream; empty if the format has none. */
  formatOpening(): string;
  /** Data of one event with generated text. */
  formatText(text: string): string;
  /** Data of the event with the finish reason. */
  formatFinish(finish: FinishReason): string;
  /** Data of the event with the token usage. */
  formatUsage(usage: Usage): string;
  /** Response body of a request without streaming. */
  formatComplete(text: string, finish: FinishReason, usage: Usage): string;
}
