import {leadsOn} from './leads_on.js';
import {setColdTime} from './set_cold_time.js';
import type {SiteDelta} from './site_delta.js';
import type {StorePosition} from './store_position.js';

/** Number of deltas that are kept for peers that missed some. */
const MAX_DELTAS = 64;

interface LoggedDelta {
  readonly delta: SiteDelta;
  readonly addedAtMs: number;
}

/**
 * The latest deltas that a host has applied, from which it answers peers that lag
 * behind. Load pattern: a peer that lost contact for seconds needs a few changes,
 * not the whole published state.
 */
export class SiteDeltaLog {
  private deltas: LoggedDelta[] = [];

  /**
   * Adds a delta. One that does not follow the last starts the log anew. Only the
   * newest configuration is kept, which replaces all earlier ones.
   */
  add(delta: SiteDelta, nowMs: number): void {
    const last = this.deltas.at(-1)?.delta;
    const follows = last !== undefined && leadsOn(delta, last);
    const earlier = follows ? this.deltas : [];
    const kept = delta.configuration ? earlier.map(dropConfiguration) : earlier;
    const added = {delta, addedAtMs: nowMs};
    this.deltas = [...kept, added].slice(-MAX_DELTAS);
  }

  /**
   * Returns the deltas that lead from a position to the latest one, or undefined
   * when the log does not reach back so far. Cold times are those left now.
   */
  listSince(position: StorePosition, nowMs: number): SiteDelta[] | undefined {
    const missing = this.deltas.filter(
      ({delta}) => delta.revision > position.revision,
    );
    const [first] = missing;
    const reaches = first !== undefined && leadsOn(first.delta, position);
    return reaches ? missing.map(one => ageDelta(one, nowMs)) : undefined;
  }
}

function dropConfiguration({
  delta: {configuration: _configuration, ...delta},
  addedAtMs,
}: LoggedDelta): LoggedDelta {
  return {delta, addedAtMs};
}

function ageDelta({delta, addedAtMs}: LoggedDelta, nowMs: number): SiteDelta {
  const ageMs = nowMs - addedAtMs;
  const updated = delta.updated.map(entry =>
    setColdTime(entry, (entry.coldRemainingMs ?? 0) - ageMs),
  );
  return {...delta, updated};
}
