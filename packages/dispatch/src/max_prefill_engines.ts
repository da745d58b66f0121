/** Maximum number of engines that prefill one prompt: the answering one and 16 helpers. */
export const MAX_PREFILL_ENGINES = 17;
