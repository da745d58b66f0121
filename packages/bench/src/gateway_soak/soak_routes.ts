import type {SoakRoute} from './soak_route.js';

/** A route of each kind. */
export const SOAK_ROUTES: readonly SoakRoute[] = [
  {
    name: 'orders',
    path: '/orders/',
    kind: 'unsafe',
    service: 'app',
    timeoutMs: 2_000,
  },
  {
    name: 'bins',
    path: '/bins/',
    kind: 'safe',
    service: 'app',
    timeoutMs: 2_000,
  },
  {
    name: 'ask',
    path: '/ask/',
    kind: 'stream',
    service: 'engine',
    timeoutMs: 6_000,
  },
];
