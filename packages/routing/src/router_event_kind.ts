/** Kinds of `RouterEvent`. */
export enum RouterEventKind {
  UPSTREAMS = 'upstreams',
  LOAD_REPORT = 'load_report',
  CACHE_EVENT = 'cache_event',
  ATTEMPT_STARTED = 'attempt_started',
  FIRST_TOKEN = 'first_token',
  ATTEMPT_ENDED = 'attempt_ended',
  AVOID = 'avoid',
  PEER_DEMAND = 'peer_demand',
}
