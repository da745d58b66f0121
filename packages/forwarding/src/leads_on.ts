import type {SiteDelta} from './site_delta.js';
import type {StorePosition} from './store_position.js';

/** Whether a delta holds all that changed between a position and its own. */
export function leadsOn(
  {epoch: deltaEpoch, fromRevision, isDifference}: SiteDelta,
  {epoch, revision}: StorePosition,
): boolean {
  if (deltaEpoch !== epoch) return false;
  return isDifference === true
    ? fromRevision === revision
    : fromRevision <= revision;
}
