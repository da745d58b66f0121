import type {FinishReason, Usage} from '@parsleywood/requests';
import type {CompletionFormatter} from './completion_formatter.js';
import {formatUsage} from './format_usage.js';

/** Formats the answers of /v1/completions. */
export class TextFormatter implements CompletionFormatter {
  private readonly commonFields: Record<string, unknown>;

  constructor(id: string, model: string, createdSeconds: number) {
    this.commonFields = {
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
      ...this.commonFields,
      choices: [],
      usage: formatUsage(usage),
    });
  }

  formatComplete(text: string, finish: FinishReason, usage: Usage): string {
    return this.format(text, finish, {usage: formatUsage(usage)});
  }

  private format(
    text: string,
    finish: FinishReason | null,
    extraFields: Record<string, unknown> = {},
  ): string {
    return JSON.stringify({
      ...this.commonFields,
      choices: [{index: 0, text, logprobs: null, finish_reason: finish}],
      ...extraFields,
    });
  }
}
