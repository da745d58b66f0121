/** Wait, in prompt tokens, that longer prefills of an engine cost a shorter prompt. */
export const LONGER_PREFILL_TOKENS = 8192;
