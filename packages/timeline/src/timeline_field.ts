/**
 * Fields that an event may carry. The list is closed and holds no free text, so
 * that neither prompts nor API keys can enter a timeline.
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
