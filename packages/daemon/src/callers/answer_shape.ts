import type {FinishReason, Usage} from '@parsleywood/requests';

/** JSON shape of one kind of completion answer. */
export interface AnswerShape {
  /** First event of a stream; empty when the shape has none. */
  formatOpening(): string;
  /** One event's data with generated text. */
  formatText(text: string): string;
  /** Data of the event that ends the text. */
  formatFinish(finish: FinishReason): string;
  /** Data of the event that reports the usage. */
  formatUsage(usage: Usage): string;
  /** The answer in one piece. */
  formatWhole(text: string, finish: FinishReason, usage: Usage): string;
}
