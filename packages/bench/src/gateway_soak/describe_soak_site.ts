import type {CheckedUpstream} from './checked_upstream.js';
import {describeNewestRoute} from './describe_newest_route.js';
import {HEALTH_PATH} from './health_path.js';
import {SOAK_ROUTES} from './soak_routes.js';

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

/** Describes the site of a soak: a route of each kind, and one that each version has alone. */
export function describeSoakSite(
  version: number,
  upstreams: readonly CheckedUpstream[],
  draining: ReadonlySet<string>,
  odd: readonly object[],
): object {
  return {
    version,
    routes: [...SOAK_ROUTES, describeNewestRoute(version)].map(
      ({path, kind, service, ...route}) => ({
        ...route,
        host: 'soak.example',
        prefix: path,
        kind,
        targets: [{service, weight: 1}],
        maxAttempts: 2,
        latencyObjectiveMs: 300,
        ...(kind === 'stream' && {resumable: true, pauseObjectiveMs: 250}),
      }),
    ),
    services: [
      {name: 'app', healthPath: HEALTH_PATH},
      {name: 'engine', healthPath: HEALTH_PATH, engine: ENGINE},
    ],
    upstreams: [
      ...odd,
      ...upstreams.map(({id, service, address, bornMs}) => ({
        id,
        service,
        address,
        bornMs,
        failureDomain: 'd0',
        stage: draining.has(id) ? 'draining' : 'ready',
        slots: 16,
      })),
    ],
  };
}
