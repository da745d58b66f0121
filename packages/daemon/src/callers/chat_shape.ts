import type {FinishReason, Usage} from '@parsleywood/requests';
import type {AnswerShape} from './answer_shape.js';
import {formatUsage} from './format_usage.js';

/** Answers of /v1/chat/completions. */
export class ChatShape implements AnswerShape {
  private readonly head: Record<string, unknown>;
  private readonly chunkHead: string;

  constructor(
    private readonly id: string,
    private readonly model: string,
    private readonly createdSeconds: number,
  ) {
    this.head = {
      id: `chatcmpl-${this.id}`,
      object: 'chat.completion.chunk',
      created: this.createdSeconds,
      model: this.model,
    };
    this.chunkHead = JSON.stringify(this.head).slice(0, -1);
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
      ...this.head,
      choices: [],
      usage: formatUsage(usage),
    });
  }

  formatWhole(text: string, finish: FinishReason, usage: Usage): string {
    const message = {role: 'assistant', content: text, refusal: null};
    return JSON.stringify({
      ...this.head,
      object: 'chat.completion',
      choices: [{index: 0, message, logprobs: null, finish_reason: finish}],
      usage: formatUsage(usage),
    });
  }

  private formatChunk(delta: string, finish: string): string {
    return `${this.chunkHead},"choices":[{"index":0,"delta":${delta},"finish_reason":${finish}}]}`;
  }
}
