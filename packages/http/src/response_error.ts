/** What arrived is no response in the grammar of HTTP/1.1. */
export class ResponseError extends Error {
  override readonly name = 'ResponseError';
  readonly code = 'ERR_HTTP_RESPONSE';
}
