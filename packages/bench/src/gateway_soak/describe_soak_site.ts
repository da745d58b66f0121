import type {CheckedUpstream} from './checked_upstream.js';

const ENGINE = {
  slots: 16,
  memoryTokens: 100_000,
  stepsPerPass: 1,
  stepMs: 40,
  stepMsPerWriter: 0,
  stepMsPerThousandTokens: 0,
  readTokensPerMs: 100,
  readMsPerMillionPairs: 0.1,
  chunkTokens: 2_000,
  meanAnswerTokens: 400,
};

/** Describes the site of a soak: a route of each kind, plain services and engines. */
export function describeSoakSite(
  version: number,
  upstreams: readonly CheckedUpstream[],
  draining: ReadonlySet<string>,
): object {
  const route = {host: 'soak.example', latencyObjectiveMs: 300};
  const app = [{service: 'app', weight: 1}];
  return {
    version,
    routes: [
      {
        ...route,
        name: 'orders',
        prefix: '/orders/',
        kind: 'unsafe',
        targets: app,
        timeoutMs: 2_000,
        maxAttempts: 2,
      },
      {
        ...route,
        name: 'bins',
        prefix: '/bins/',
        kind: 'safe',
        targets: app,
        timeoutMs: 2_000,
        maxAttempts: 2,
      },
      {
        ...route,
        name: 'ask',
        prefix: '/ask/',
        kind: 'stream',
        resumable: true,
        targets: [{service: 'engine', weight: 1}],
        timeoutMs: 6_000,
        maxAttempts: 2,
        pauseObjectiveMs: 250,
      },
    ],
    services: [{name: 'app'}, {name: 'engine', engine: ENGINE}],
    upstreams: upstreams.map(({id, service, proxy}) => ({
      id,
      service,
      address: proxy.address,
      failureDomain: 'd0',
      stage: draining.has(id) ? 'draining' : 'ready',
      slots: 16,
    })),
  };
}
