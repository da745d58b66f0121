/** Most engines that read one prompt: 16 helpers and the answering one. */
export const MAX_READERS = 17;
