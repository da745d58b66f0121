import type {FinishReason, Usage} from '@parsleywood/requests';
import type {AnswerShape} from './answer_shape.js';
import {formatUsage} from './format_usage.js';

/** Answers of /v1/completions. */
export class TextShape implements AnswerShape {
  private readonly head: Record<string, unknown>;

  constructor(id: string, model: string, createdSeconds: number) {
    this.head = {
      id: `cmpl-${id}`,
      object: 'text_completion',
      created: createdSeconds,
      model,
    };
  }

  formatOpening(): string {
    return '';
  }

  formatText(text: string): string {
    return this.format(text, null);
  }

  formatFinish(finish: FinishReason): string {
    return this.format('', finish);
  }

  formatUsage(usage: Usage): string {
    return JSON.stringify({
      ...this.head,
      choices: [],
      usage: formatUsage(usage),
    });
  }

  formatWhole(text: string, finish: FinishReason, usage: Usage): string {
    return this.format(text, finish, {usage: formatUsage(usage)});
  }

  private format(
    text: string,
    finish: FinishReason | null,
    more: Record<string, unknown> = {},
  ): string {
    return JSON.stringify({
      ...this.head,
      choices: [{index: 0, text, logprobs: null, finish_reason: finish}],
      ...more,
    });
  }
}
