import type {HeaderNames} from './header_names.js';

/** Header names of Parsleywood's own HTTP interface. */
export const DEFAULT_HEADER_NAMES: HeaderNames = {
  requestId: 'request-id',
  timeLimit: 'request-timeout-ms',
  key: 'account-key',
  account: 'client-account',
  tokenCounts: 'token-counts',
  answerEstimate: 'answer-tokens-estimate',
  promptParts: 'prompt-parts',
  lastEventId: 'last-event-id',
  expectedUpstream: 'expected-upstream',
  callersExpectation: 'expected-version',
  rank: 'request-rank',
  helpers: 'prompt-helpers',
  notRun: 'not-run',
  faultyUpstream: 'faulty-upstream',
  rateLimit: 'upstream-rate-limit',
  leaving: 'upstream-leaving',
};
