/**
 * What an event may tell. The list is closed and has no free text, so that no
 * prompt and no key can enter a time line.
 */
export enum TimelineField {
  ACCOUNT = 'account',
  ATTEMPT = 'attempt',
  DURATION_MS = 'durationMs',
  ENGINES = 'engines',
  ERROR_KIND = 'errorKind',
  INCARNATION = 'incarnation',
  LENGTH_CLASS = 'lengthClass',
  LIMIT_MS = 'limitMs',
  MODEL = 'model',
  PEER = 'peer',
  POSITION = 'position',
  PROMPT_TOKENS = 'promptTokens',
  PROVED = 'proved',
  QUEUE_MS = 'queueMs',
  RAN = 'ran',
  RETRY_AFTER_MS = 'retryAfterMs',
  REVISION = 'revision',
  SERVICE = 'service',
  STATE = 'state',
  STATUS = 'status',
  TOKENS = 'tokens',
  UPSTREAM = 'upstream',
}
