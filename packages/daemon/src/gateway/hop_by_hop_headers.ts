/** Headers that concern one connection only, in lower case. */
export const HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
