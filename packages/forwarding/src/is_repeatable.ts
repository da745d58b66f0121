import {RequestKind} from './request_kind.js';
import type {Route} from './route.js';

/** Whether a route's requests may run again, or their streams resume elsewhere. */
export function isRepeatable({
  kind,
  resumable,
}: Pick<Route, 'kind' | 'resumable'>): boolean {
  if (kind === RequestKind.STREAM) return resumable;
  return kind === RequestKind.IDEMPOTENT;
}
