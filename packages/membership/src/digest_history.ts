import type {PeerHeartbeat} from './peer_heartbeat.js';
import type {PeerSighting} from './peer_sighting.js';

/** Digests from one complete digest to the next. */
const COMPLETE_INTERVAL = 4;

/**
 * Tells which heartbeats a relay's next digest has to repeat. Load pattern: hundreds of
 * hosts of which few change between two digests, each digest read by every host.
 * Most are then named as alive only; a complete digest at times reaches hosts that
 * missed one.
 */
export class DigestHistory {
  private descriptions = new Map<string, string>();
  private digests = 0;

  /**
   * Splits the sightings of the next digest into those whose heartbeat has changed
   * since the last one, and the others.
   */
  split(sightings: readonly PeerSighting[]): {
    readonly changed: readonly PeerSighting[];
    readonly unchanged: readonly PeerSighting[];
  } {
    const isComplete = this.digests++ % COMPLETE_INTERVAL === 0;
    const before = this.descriptions;
    this.descriptions = new Map(
      sightings.map(({beat}) => [beat.peersAddress, describe(beat)]),
    );
    const hasChanged = ({beat: {peersAddress}}: PeerSighting): boolean =>
      isComplete ||
      before.get(peersAddress) !== this.descriptions.get(peersAddress);
    return {
      changed: sightings.filter(hasChanged),
      unchanged: sightings.filter(one => !hasChanged(one)),
    };
  }
}

/**
 * What other hosts act on at once. The position of the store is left out: relays tell
 * each other theirs.
 */
function describe(beat: PeerHeartbeat): string {
  const {incarnation, stage, reach, callersAddress, relays, processorShare} =
    beat;
  return `${incarnation} ${stage} ${reach} ${callersAddress} ${relays} ${processorShare}`;
}
