/** Bytes of UTF-8 text that the engine counts as one token. */
export const BYTES_PER_TOKEN = 4;
