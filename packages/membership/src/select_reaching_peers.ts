import type {PeerHeartbeat} from './peer_heartbeat.js';
import {PeerStage} from './peer_stage.js';
import {ReachState} from './reach_state.js';

/**
 * Selects the ready peers that callers may use. Load pattern: some hosts are cut off
 * from all upstreams, or all hosts are, when no host serves better than another.
 *
 * @param own Reach of this host, which is ready.
 */
export function selectReachingPeers(
  peers: readonly PeerHeartbeat[],
  own: ReachState,
): PeerHeartbeat[] {
  const ready = peers.filter(({stage}) => stage === PeerStage.READY);
  const isAnyReaching =
    own === ReachState.REACHED ||
    ready.some(({reach}) => reach === ReachState.REACHED);
  if (!isAnyReaching) return ready;
  return ready.filter(({reach}) => reach !== ReachState.CUT_OFF);
}
