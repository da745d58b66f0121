import type {FinishReason, Usage} from '@parsleywood/requests';
import type {CompletionFormatter} from './completion_formatter.js';
import {formatUsage} from './format_usage.js';

/** Formats the answers of /v1/chat/completions. */
export class ChatFormatter implements CompletionFormatter {
  private readonly commonFields: Record<string, unknown>;
  /** JSON of the common fields without the closing brace. */
  private readonly chunkPrefix: string;

  constructor(
    private readonly id: string,
    private readonly model: string,
    private readonly createdSeconds: number,
  ) {
    this.commonFields = {
      id: `chatcmpl-${this.id}`,
      object: 'chat.completion.chunk',
      created: this.createdSeconds,
      model: this.model,
    };
    this.chunkPrefix = JSON.stringify(this.commonFields).slice(0, -1);
  }

  formatOpening(): string {
    return this.formatChunk('{"role":"assistant","content":""}', 'null');
  }

  formatText(text: string): string {
    return this.formatChunk(`{"content":${JSON.stringify(text)}}`, 'null');
  }

  formatFinish(finish: FinishReason): string {
    return this.formatChunk('{}', `"${finish}"`);
  }

  formatUsage(usage: Usage): string {
    return JSON.stringify({
      ...this.commonFields,
      choices: [],
      usage: formatUsage(usage),
    });
  }

  formatComplete(text: string, finish: FinishReason, usage: Usage): string {
    const message = {role: 'assistant', content: text, refusal: null};
    return JSON.stringify({
      ...this.commonFields,
      object: 'chat.completion',
      choices: [{index: 0, message, logprobs: null, finish_reason: finish}],
      usage: formatUsage(usage),
    });
  }

  private formatChunk(delta: string, finish: string): string {
    return `${this.chunkPrefix},"choices":[{"index":0,"delta":${delta},"finish_reason":${finish}}]}`;
  }
}
