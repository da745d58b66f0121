import type {Usage} from '@parsleywood/requests';

/** Formats token usage with the field names that public client libraries read. */
export function formatUsage(usage: Usage): Record<string, unknown> {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: {cached_tokens: usage.cachedTokens},
  };
}
