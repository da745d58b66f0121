import type {PeerSighting} from '@parsleywood/membership';
import type {
  HostDigest,
  HostSighting,
  StoreContact,
} from '@parsleywood/schema/fleet';
import {HOST_STAGES} from './host_stages.js';
import {REACH_STATES} from './reach_states.js';

/**
 * Encodes what a host tells its subscribers of the hosts of the site.
 *
 * @param unchanged Hosts that are as the digest before told.
 * @param store The sender's contact with the store, if there is one.
 */
export function encodeDigest(
  sightings: readonly PeerSighting[],
  unchanged: readonly PeerSighting[],
  store: StoreContact | undefined,
  nowMs: number,
): HostDigest {
  return {
    ...(store && {store}),
    pulses: unchanged.map(({beat, heardAtMs}) => ({
      peersAddress: beat.peersAddress,
      silentMs: Math.round(nowMs - heardAtMs),
    })),
    sightings: sightings.map(({beat, heardAtMs}): HostSighting => {
      const {incarnation, stage, reach, ...fields} = beat;
      return {
        beat: {
          ...fields,
          stage: HOST_STAGES[stage],
          upstreamReach: REACH_STATES[reach],
          knownAddresses: [],
          suspectsHash: 0,
        },
        incarnation,
        silentMs: Math.round(nowMs - heardAtMs),
      };
    }),
  };
}
