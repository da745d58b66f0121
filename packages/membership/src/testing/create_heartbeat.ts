import type {PeerHeartbeat} from '../peer_heartbeat.js';
import {PeerStage} from '../peer_stage.js';
import {ReachState} from '../reach_state.js';

/** Creates the heartbeat of a ready host. */
export function createHeartbeat(
  peersAddress: string,
  changes: Partial<PeerHeartbeat> = {},
): PeerHeartbeat {
  return {
    peersAddress,
    callersAddress: `${peersAddress}/callers`,
    failureDomain: 'd',
    incarnation: '1',
    stage: PeerStage.READY,
    reach: ReachState.UNKNOWN,
    epoch: 0,
    revision: 1,
    version: 0,
    hearsReceiver: true,
    knownAddresses: [],
    processorShare: 1,
    subscribes: false,
    relays: false,
    hosts: 1,
    ...changes,
  };
}
