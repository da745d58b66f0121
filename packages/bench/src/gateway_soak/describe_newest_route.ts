import type {SoakRoute} from './soak_route.js';

/** Describes the route that only one version of the site has. */
export function describeNewestRoute(version: number): SoakRoute {
  return {
    name: 'newest',
    path: `/newest-${version}/`,
    kind: 'safe',
    service: 'app',
    timeoutMs: 2_000,
  };
}
