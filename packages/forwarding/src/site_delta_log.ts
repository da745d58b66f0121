import {leadsOn} from './leads_on.js';
import type {SiteDelta} from './site_delta.js';
import type {StorePosition} from './store_position.js';

/** Number of deltas that are kept for peers that missed some. */
const MAX_DELTAS = 64;

/**
 * The latest deltas that a host has applied, from which it answers peers that lag
 * behind. Load pattern: a peer that lost contact for seconds needs a few changes,
 * not the whole published state.
 */
export class SiteDeltaLog {
  private deltas: SiteDelta[] = [];

  /**
   * Adds a delta. One that does not follow the last starts the log anew. Only the
   * newest configuration is kept, which replaces all earlier ones.
   */
  add(delta: SiteDelta): void {
    const last = this.deltas.at(-1);
    const follows = last !== undefined && leadsOn(delta, last);
    const earlier = follows ? this.deltas : [];
    const kept = delta.configuration ? earlier.map(dropConfiguration) : earlier;
    this.deltas = [...kept, delta].slice(-MAX_DELTAS);
  }

  /**
   * Returns the deltas that lead from a position to the latest one, or undefined
   * when the log does not reach back so far.
   */
  listSince(position: StorePosition): SiteDelta[] | undefined {
    const missing = this.deltas.filter(
      delta => delta.revision > position.revision,
    );
    const [first] = missing;
    const reaches = first !== undefined && leadsOn(first, position);
    return reaches ? missing : undefined;
  }
}

function dropConfiguration({
  configuration: _configuration,
  ...rest
}: SiteDelta): SiteDelta {
  return rest;
}
