/** Size limit of the response to one attempt or call, in bytes. */
export const MAX_RESPONSE_BYTES = 16_777_216;
