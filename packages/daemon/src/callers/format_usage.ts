import type {Usage} from '@parsleywood/requests';

/** Usage as public client libraries read it. */
export function formatUsage(usage: Usage): Record<string, unknown> {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: {cached_tokens: usage.cachedTokens},
  };
}
