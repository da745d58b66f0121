import {RequestKind} from '../request_kind.js';
import type {Route} from '../route.js';

/** Creates a route for tests; `changes` overrides the defaults. */
export function createRoute(changes: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'a.example',
    prefix: '/',
    kind: RequestKind.IDEMPOTENT,
    resumable: false,
    targets: [{service: 's', weight: 1}],
    maxAttempts: 2,
    timeoutMs: 1_000,
    latencyObjectiveMs: 100,
    priority: 1,
    allowsAnonymous: false,
    ...changes,
  };
}
